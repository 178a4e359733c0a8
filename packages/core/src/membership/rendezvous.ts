import { hash32 } from "./hash.js";

/**
 * Returns the `count` hosts with the highest hash of key and host name, highest first. Adding or removing a host
 * changes the result only for the keys that select it.
 *
 * @example
 * ```ts
 * rendezvousHash("head/kl-1", ["a", "b", "c"], 2);
 * ```
 */
export function rendezvousHash(key: string, hosts: Iterable<string>, count: number): string[] {
    const best: { host: string; score: number }[] = [];
    for (const host of hosts) {
        const entry = { host, score: hash32(`${key}\n${host}`) };
        const index = best.findIndex(other => ranksBefore(entry, other));
        if (index >= 0) {
            best.splice(index, 0, entry);
        } else if (best.length < count) {
            best.push(entry);
        }
        best.length = Math.min(best.length, count);
    }
    return best.map(entry => entry.host);
}

function ranksBefore(a: { host: string; score: number }, b: { host: string; score: number }): boolean {
    return a.score > b.score || (a.score === b.score && a.host < b.host);
}
