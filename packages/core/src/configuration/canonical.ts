import { createHash } from "node:crypto";

/**
 * JSON with sorted keys, so that equal values give equal bytes. The value is plain data: `toJSON` is not called.
 *
 * @example
 * ```ts
 * canonicalJson({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 * ```
 */
export function canonicalJson(value: unknown): string {
    return JSON.stringify(isObject(value) ? withSortedKeys(value) : value);
}

export function canonicalBytes(value: unknown): Uint8Array {
    return Buffer.from(canonicalJson(value), "utf8");
}

/** SHA-256 in base64url, by which the object store addresses a part. */
export function contentHash(bytes: Uint8Array): string {
    return createHash("sha256").update(bytes).digest("base64url");
}

function isObject(value: unknown): value is object {
    return typeof value === "object" && value !== null;
}

/**
 * Returns a copy with sorted keys at every depth. It avoids a callback for each property (a JSON replacer or a
 * comparator), because a host calls it for every resource right after it starts.
 */
function withSortedKeys(value: object): object {
    if (Array.isArray(value)) {
        return value.map((item: unknown) => (isObject(item) ? withSortedKeys(item) : item));
    }
    const record = value as Record<string, unknown>;
    const entries: [string, unknown][] = [];
    for (const key of Object.keys(record).sort()) {
        const item = record[key];
        entries.push([key, isObject(item) ? withSortedKeys(item) : item]);
    }
    return Object.fromEntries(entries);
}
