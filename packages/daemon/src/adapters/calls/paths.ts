/** Path of a request target, without its query. */
export function pathOf(url: string): string {
    return url.split("?", 1)[0] as string;
}

/** Dot segments and backslashes could mean another path to a backend server than to the route. */
export function isPlainPath(path: string): boolean {
    return path
        .split("/")
        .every(segment => !/[\\#]|%(?:00|5c)/i.test(segment) && !/^(?:\.|%2e){1,2}(?:;|$)/i.test(segment));
}
