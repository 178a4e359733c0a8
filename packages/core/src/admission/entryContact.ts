/**
 * What a host knows of the entry daemon of a call that waits there. An entry daemon that is too busy to read anything does
 * not know that a caller has left, and a call of that caller would run for nobody.
 */
export interface EntryContact {
    /** Time at which the latest message of the entry daemon was read, in milliseconds since the epoch. */
    heardAt: number;
}

/** Silence of an entry daemon after which its waiting calls are not started, in milliseconds. */
export const maxEntrySilenceMs = 300;

/**
 * Whether the entry daemon has been silent for so long that its caller may have left unnoticed.
 *
 * @example
 * ```ts
 * isEntrySilent({ heardAt: 1_000 }, 1_200); // false
 * isEntrySilent({ heardAt: 1_000 }, 1_400); // true
 * ```
 */
export function isEntrySilent({ heardAt }: EntryContact, now: number): boolean {
    return now - heardAt > maxEntrySilenceMs;
}
