/** Checks a decoded value. Returns a description of the fault, or `undefined` for a valid value. */
export type Check = (value: unknown) => string | undefined;

/** One check per field of the type. The compiler reports a field without a check. */
export type FieldChecks<T> = { readonly [K in keyof T]-?: Check };

export function stringOf(maxLength: number): Check {
    return value =>
        typeof value === "string" && value.length <= maxLength
            ? undefined
            : `is not a string of at most ${maxLength} characters`;
}

export function integer(max: number = Number.MAX_SAFE_INTEGER): Check {
    return value =>
        Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= max
            ? undefined
            : `is not an integer from 0 to ${max}`;
}

export function oneOf(values: readonly unknown[]): Check {
    return value => (values.includes(value) ? undefined : `is not one of ${values.join(", ")}`);
}

export const bytes: Check = value => (value instanceof Uint8Array ? undefined : "is not a byte string");

export function optional(check: Check): Check {
    return value => (value === undefined ? undefined : check(value));
}

export function listOf(check: Check, maxCount: number): Check {
    return value => {
        if (!Array.isArray(value) || value.length > maxCount) {
            return `is not a list of at most ${maxCount} items`;
        }
        return firstFault(value.entries(), () => check);
    };
}

export function mapOf(key: Check, check: Check, maxCount: number): Check {
    return value => {
        if (!isPlainObject(value) || Object.keys(value).length > maxCount) {
            return `is not a map of at most ${maxCount} entries`;
        }
        return firstFault(Object.keys(value), () => key) ?? firstFault(Object.entries(value), () => check);
    };
}

export function objectOf<T>(fields: FieldChecks<T>): Check {
    const names = Object.keys(fields) as (keyof T & string)[];
    return value => {
        if (!isPlainObject(value)) {
            return "is not a map";
        }
        const unknownField = Object.keys(value).find(name => !Object.hasOwn(fields, name));
        if (unknownField !== undefined) {
            return "has an unknown field";
        }
        return firstFault(
            names.map(name => [name, value[name]]),
            name => fields[name as keyof T],
        );
    };
}

function firstFault(
    entries: Iterable<unknown>,
    checkOf: (name: string | number) => Check,
): string | undefined {
    for (const entry of entries) {
        const [name, value] = Array.isArray(entry) ? (entry as [string | number, unknown]) : ["key", entry];
        const fault = checkOf(name)(value);
        if (fault !== undefined) {
            return `${name}: ${fault}`;
        }
    }
    return undefined;
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && Object.getPrototypeOf(value) === Object.prototype;
}
