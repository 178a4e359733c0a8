import type { BackendBoard, BackendFaults } from "./board.js";

export interface FaultControl {
    change(faults: Partial<BackendFaults>): void;
    /** Takes one of the remaining lost answers; returns whether there was one. */
    takeLostAnswer(): boolean;
}

/** Writes the `faults` section. */
export function createFaultControl(board: BackendBoard): FaultControl {
    const faults = board.claimValue("faults");
    const change = (changes: Partial<BackendFaults>) => faults.update(now => ({ ...now, ...changes }));
    return {
        change,
        takeLostAnswer() {
            const { loseAnswers } = board.read("faults");
            if (loseAnswers > 0) {
                change({ loseAnswers: loseAnswers - 1 });
            }
            return loseAnswers > 0;
        },
    };
}
