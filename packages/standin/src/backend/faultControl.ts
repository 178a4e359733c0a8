import type { BackendBoard, BackendFaults } from "./board.js";

export interface FaultControl {
    change(faults: Partial<BackendFaults>): void;
    /** Decrements `loseAnswers`; returns whether it was above 0. */
    consumeLostAnswer(): boolean;
}

/** Writes the `faults` section. */
export function createFaultControl(board: BackendBoard): FaultControl {
    const section = board.claimValue("faults");
    const change = (changes: Partial<BackendFaults>) =>
        section.update(current => ({ ...current, ...changes }));
    return {
        change,
        consumeLostAnswer() {
            const { loseAnswers } = board.read("faults");
            if (loseAnswers > 0) {
                change({ loseAnswers: loseAnswers - 1 });
            }
            return loseAnswers > 0;
        },
    };
}
