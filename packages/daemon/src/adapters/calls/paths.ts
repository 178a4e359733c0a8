/** Path of a request target, without the query. */
export function pathOf(url: string): string {
    return url.split("?", 1)[0] as string;
}

/**
 * Whether the path means the same to the route and to a backend server, which may normalize dot segments, backslashes,
 * NUL and `#` differently.
 */
export function isUnambiguousPath(path: string): boolean {
    return path
        .split("/")
        .every(segment => !/[\\#]|%(?:00|5c)/i.test(segment) && !/^(?:\.|%2e){1,2}(?:;|$)/i.test(segment));
}
