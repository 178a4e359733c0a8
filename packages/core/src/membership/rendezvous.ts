import { hash32 } from "./hash.js";

/**
 * The `count` hosts with the highest hash of key and host name, best first. A host that comes or goes changes
 * the choice only for the keys that it wins.
 *
 * @example
 * ```ts
 * rendezvous("head/kl-1", ["a", "b", "c"], 2);
 * ```
 */
export function rendezvous(key: string, hosts: Iterable<string>, count: number): string[] {
    const best: { host: string; score: number }[] = [];
    for (const host of hosts) {
        const entry = { host, score: hash32(`${key}\n${host}`) };
        const at = best.findIndex(other => isAhead(entry, other));
        if (at >= 0) {
            best.splice(at, 0, entry);
        } else if (best.length < count) {
            best.push(entry);
        }
        best.length = Math.min(best.length, count);
    }
    return best.map(entry => entry.host);
}

function isAhead(a: { host: string; score: number }, b: { host: string; score: number }): boolean {
    return a.score > b.score || (a.score === b.score && a.host < b.host);
}
