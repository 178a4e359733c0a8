import { createHash } from "node:crypto";

/**
 * JSON with sorted keys, so that equal values give equal bytes.
 *
 * @example
 * ```ts
 * canonicalJson({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 * ```
 */
export function canonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, item: unknown) => (isRecord(item) ? sortKeys(item) : item));
}

export function canonicalBytes(value: unknown): Uint8Array {
    return Buffer.from(canonicalJson(value), "utf8");
}

/** SHA-256 in base64url, the address of a part in the object store. */
export function contentHash(bytes: Uint8Array): string {
    return createHash("sha256").update(bytes).digest("base64url");
}

function isRecord(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function sortKeys(record: Record<string, unknown>): Record<string, unknown> {
    return Object.fromEntries(Object.entries(record).sort(([a], [b]) => (a < b ? -1 : 1)));
}
