/**
 * Returns whether a path exists that matches both patterns.
 *
 * @example
 * ```ts
 * pathsOverlap("/slots/*", "/slots/open"); // true
 * pathsOverlap("/slots", "/slots/*"); // false
 * ```
 */
export function pathsOverlap(first: string, second: string): boolean {
    const a = splitPath(first);
    const b = splitPath(second);
    for (let index = 0; ; index += 1) {
        const [left, right] = [a[index], b[index]];
        if (left === "**" || right === "**" || (left === undefined && right === undefined)) {
            return true;
        }
        const differ = left !== right && left !== "*" && right !== "*";
        if (left === undefined || right === undefined || differ) {
            return false;
        }
    }
}

function splitPath(path: string): readonly string[] {
    return path
        .split("/")
        .slice(1)
        .filter(segment => segment !== "");
}
