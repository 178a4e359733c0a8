/** Conditional requests (RFC 9110, section 13). */

export interface Conditions {
    readonly ifMatch?: string | undefined;
    readonly ifNoneMatch?: string | undefined;
}

/** `If-Match` compares strongly: a weak tag never matches (section 13.1.1). */
export function holdsIfMatch(field: string, current: string | undefined): boolean {
    if (current === undefined) {
        return false;
    }
    return field.trim() === "*" || listTags(field).includes(current);
}

/** `If-None-Match` compares weakly: the mark of a weak tag is ignored (section 13.1.2). */
export function holdsIfNoneMatch(field: string, current: string | undefined): boolean {
    if (current === undefined) {
        return true;
    }
    return field.trim() !== "*" && !listTags(field).map(withoutWeakMark).includes(withoutWeakMark(current));
}

/** Evaluates both conditions in the order of section 13.2.2. */
export function holdConditions(conditions: Conditions, current: string | undefined): boolean {
    const { ifMatch, ifNoneMatch } = conditions;
    return (
        (ifMatch === undefined || holdsIfMatch(ifMatch, current)) &&
        (ifNoneMatch === undefined || holdsIfNoneMatch(ifNoneMatch, current))
    );
}

function listTags(field: string): readonly string[] {
    return field.match(/(?:W\/)?"[^"]*"/g) ?? [];
}

function withoutWeakMark(tag: string): string {
    return tag.startsWith("W/") ? tag.slice("W/".length) : tag;
}
