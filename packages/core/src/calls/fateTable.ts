import { CallFate } from "../messages/peerMessage.js";

/** Call ids that a daemon remembers until some time after their deadline. */
export const maxFates = 65_536;

interface FateEntry {
    fate: CallFate;
    readonly expiresAt: number;
}

/** Bounded map of call ids to what became of the calls. Its owner alone changes it. */
export interface FateTable {
    readonly entries: Map<string, FateEntry>;
}

export function createFateTable(): FateTable {
    return { entries: new Map() };
}

/**
 * Marks a call as running.
 *
 * @returns false when the call was barred, already ran, or the table is full; it must not run then
 */
export function startCall(table: FateTable, callId: string, expiresAt: number, now: number): boolean {
    if (table.entries.has(callId) || !hasRoom(table, now)) {
        return false;
    }
    table.entries.set(callId, { fate: CallFate.Running, expiresAt });
    return true;
}

export function finishCall(table: FateTable, callId: string): void {
    const entry = table.entries.get(callId);
    if (entry !== undefined) {
        entry.fate = CallFate.Finished;
    }
}

/** Forgets a call that was marked as running but never passed on. */
export function withdrawCall(table: FateTable, callId: string): void {
    table.entries.delete(callId);
}

/**
 * Says what became of a call, and bars a call that has not been admitted.
 * A full table answers `running`: the asking daemon must not take the call as barred.
 */
export function settleFate(table: FateTable, callId: string, expiresAt: number, now: number): CallFate {
    const known = table.entries.get(callId);
    if (known !== undefined) {
        return known.fate;
    }
    if (!hasRoom(table, now)) {
        return CallFate.Running;
    }
    table.entries.set(callId, { fate: CallFate.Barred, expiresAt });
    return CallFate.Barred;
}

export function expireFates(table: FateTable, now: number): void {
    for (const [callId, entry] of table.entries) {
        if (entry.expiresAt <= now && entry.fate !== CallFate.Running) {
            table.entries.delete(callId);
        }
    }
}

function hasRoom(table: FateTable, now: number): boolean {
    if (table.entries.size >= maxFates) {
        expireFates(table, now);
    }
    return table.entries.size < maxFates;
}
