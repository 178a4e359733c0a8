import type { RunEntry } from "../ledger.js";
import type { BackendBoard } from "./board.js";

/** Capacity of the ledger; further runs are only counted as dropped. */
const maxRuns = 200_000;

export interface RunHandle {
    finish(): void;
    cancel(): void;
}

export interface RunRecorder {
    start(id: string, operation: string, bodyHash: string): RunHandle;
}

/** Writes the `runs` section. Entries are replaced in place, because a copy for each run takes quadratic time. */
export function createRunRecorder(board: BackendBoard, now: () => number = Date.now): RunRecorder {
    const section = board.claimValue("runs");
    const entries: RunEntry[] = [];
    let dropped = 0;

    function endRun(index: number, ending: Partial<RunEntry>): void {
        const entry = entries[index];
        if (entry !== undefined && entry.finished === undefined && entry.cancelled === undefined) {
            entries[index] = { ...entry, ...ending };
        }
    }

    return {
        start(id, operation, bodyHash) {
            const index = entries.length < maxRuns ? entries.length : -1;
            if (index >= 0) {
                entries.push({ id, operation, bodyHash, started: now() });
            } else {
                dropped += 1;
            }
            section.write({ entries, dropped });
            return {
                finish: () => endRun(index, { finished: now() }),
                cancel: () => endRun(index, { cancelled: now() }),
            };
        },
    };
}
