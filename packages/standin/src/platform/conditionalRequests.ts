/** Evaluation of conditional requests (RFC 9110, section 13). */

export interface Conditions {
    readonly ifMatch?: string | undefined;
    readonly ifNoneMatch?: string | undefined;
}

/** `If-Match` uses strong comparison: a weak entity tag never matches (section 13.1.1). */
export function passesIfMatch(field: string, current: string | undefined): boolean {
    if (current === undefined) {
        return false;
    }
    return field.trim() === "*" || parseTags(field).includes(current);
}

/** `If-None-Match` uses weak comparison: the `W/` prefix is ignored (section 13.1.2). */
export function passesIfNoneMatch(field: string, current: string | undefined): boolean {
    if (current === undefined) {
        return true;
    }
    return field.trim() !== "*" && !parseTags(field).map(stripWeakPrefix).includes(stripWeakPrefix(current));
}

/** Evaluates both conditions in the order of section 13.2.2. */
export function meetsConditions(conditions: Conditions, current: string | undefined): boolean {
    const { ifMatch, ifNoneMatch } = conditions;
    return (
        (ifMatch === undefined || passesIfMatch(ifMatch, current)) &&
        (ifNoneMatch === undefined || passesIfNoneMatch(ifNoneMatch, current))
    );
}

function parseTags(field: string): readonly string[] {
    return field.match(/(?:W\/)?"[^"]*"/g) ?? [];
}

function stripWeakPrefix(tag: string): string {
    return tag.startsWith("W/") ? tag.slice("W/".length) : tag;
}
