import type { Board } from "../../board.js";

/** A task that waits for its time. */
export interface Timer {
    cancel(): void;
}

/** Deadlines of calls. All of them share the ticks of the clock, so that a call costs the process no wake-up. */
export interface Timers {
    /** Runs the task at the first tick after the time, which is in milliseconds. */
    after(ms: number, task: () => void): Timer;
    close(): void;
}

/** Length of the slots by which due tasks are found, in milliseconds. */
const slotMs = 100;

interface Entry {
    readonly dueAt: number;
    readonly task: () => void;
}

export function createTimers(board: Board, now: () => number): Timers {
    const slots = new Map<number, Set<Entry>>();

    function runDue(): void {
        const at = now();
        const current = Math.floor(at / slotMs);
        for (const [slot, entries] of slots) {
            if (slot > current) {
                continue;
            }
            const due = [...entries].filter(({ dueAt }) => dueAt <= at);
            due.forEach(entry => entries.delete(entry));
            if (entries.size === 0) {
                slots.delete(slot);
            }
            due.forEach(({ task }) => task());
        }
    }

    const subscription = board.observe(["clock"], runDue);
    return {
        after(ms, task) {
            const entry: Entry = { dueAt: now() + ms, task };
            const slot = Math.floor(entry.dueAt / slotMs);
            const entries = slots.get(slot) ?? new Set<Entry>();
            slots.set(slot, entries.add(entry));
            return {
                cancel() {
                    entries.delete(entry);
                    if (entries.size === 0 && slots.get(slot) === entries) {
                        slots.delete(slot);
                    }
                },
            };
        },
        close: () => subscription.close(),
    };
}
