import type { PlatformBoard, PlatformFaults } from "./board.js";

export interface FaultSwitches {
    /** Live view of the faults: an assignment switches the fault. */
    readonly view: PlatformFaults;
    change(faults: Partial<PlatformFaults>): void;
    /** Takes one of the remaining lost answers or lost requests; returns whether there was one. */
    take(fault: "loseAnswers" | "loseRequests"): boolean;
}

/** Writes the `faults` section. */
export function createFaultSwitches(board: PlatformBoard): FaultSwitches {
    const faults = board.claimValue("faults");
    const change = (changes: Partial<PlatformFaults>) => faults.update(now => ({ ...now, ...changes }));
    const view = new Proxy({} as PlatformFaults, {
        get: (_target, name) => board.read("faults")[name as keyof PlatformFaults],
        set(_target, name, setting) {
            change({ [name]: setting });
            return true;
        },
    });
    return {
        view,
        change,
        take(fault) {
            const left = board.read("faults")[fault];
            if (left > 0) {
                change({ [fault]: left - 1 });
            }
            return left > 0;
        },
    };
}
