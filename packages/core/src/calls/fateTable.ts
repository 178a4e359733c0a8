import { CallFate } from "../messages/peerMessage.js";

/** Maximum number of call ids that a daemon keeps until some time after their deadline. */
export const maxFates = 65_536;

interface FateEntry {
    fate: CallFate;
    readonly expiresAt: number;
}

/** Bounded map from call ids to the fates of the calls. Only its owner modifies it. */
export interface FateTable {
    readonly entries: Map<string, FateEntry>;
}

export function createFateTable(): FateTable {
    return { entries: new Map() };
}

/**
 * Marks a call as running, if it may run.
 *
 * @returns `false` if the call must not run because it is barred, has already started, or the table is full
 */
export function registerCall(table: FateTable, callId: string, expiresAt: number, now: number): boolean {
    if (table.entries.has(callId) || !hasCapacity(table, now)) {
        return false;
    }
    table.entries.set(callId, { fate: CallFate.Running, expiresAt });
    return true;
}

export function markFinished(table: FateTable, callId: string): void {
    const entry = table.entries.get(callId);
    if (entry !== undefined) {
        entry.fate = CallFate.Finished;
    }
}

/** Removes a call that was marked as running but never forwarded. */
export function removeCall(table: FateTable, callId: string): void {
    table.entries.delete(callId);
}

/**
 * Returns the fate of a call and bars the call if it has not been admitted yet. A full table returns `running`, so that
 * the requesting daemon does not treat the call as barred.
 */
export function resolveFate(table: FateTable, callId: string, expiresAt: number, now: number): CallFate {
    const known = table.entries.get(callId);
    if (known !== undefined) {
        return known.fate;
    }
    if (!hasCapacity(table, now)) {
        return CallFate.Running;
    }
    table.entries.set(callId, { fate: CallFate.Barred, expiresAt });
    return CallFate.Barred;
}

export function removeExpiredFates(table: FateTable, now: number): void {
    for (const [callId, entry] of table.entries) {
        if (entry.expiresAt <= now && entry.fate !== CallFate.Running) {
            table.entries.delete(callId);
        }
    }
}

function hasCapacity(table: FateTable, now: number): boolean {
    if (table.entries.size >= maxFates) {
        removeExpiredFates(table, now);
    }
    return table.entries.size < maxFates;
}
