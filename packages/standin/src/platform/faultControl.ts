import type { PlatformBoard, PlatformFaults } from "./board.js";

export interface FaultControl {
    /** Live view of the faults; assigning a property changes the fault. */
    readonly view: PlatformFaults;
    change(faults: Partial<PlatformFaults>): void;
    /** Decrements the remaining count of the fault; returns whether it was above 0. */
    consume(fault: "loseAnswers" | "loseRequests"): boolean;
}

/** Writes the `faults` section. */
export function createFaultControl(board: PlatformBoard): FaultControl {
    const section = board.claimValue("faults");
    const change = (changes: Partial<PlatformFaults>) =>
        section.update(current => ({ ...current, ...changes }));
    const view = new Proxy({} as PlatformFaults, {
        get: (_target, name) => board.read("faults")[name as keyof PlatformFaults],
        set(_target, name, value) {
            change({ [name]: value });
            return true;
        },
    });
    return {
        view,
        change,
        consume(fault) {
            const remaining = board.read("faults")[fault];
            if (remaining > 0) {
                change({ [fault]: remaining - 1 });
            }
            return remaining > 0;
        },
    };
}
