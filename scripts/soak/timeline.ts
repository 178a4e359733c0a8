import { setTimeout as sleep } from "node:timers/promises";
import { FaultStep, type SoakBoard } from "./board.js";
import type { Fault } from "./faults.js";

/** Begins each fault at its scheduled time and ends it after its duration, or at the end of the fault phase. */
export async function playFaults(board: SoakBoard, faults: readonly Fault[], seconds: number): Promise<void> {
    const injections = board.claimFeed("injections");
    const startedAt = performance.now();
    const activeFaults = new Map<Fault, NodeJS.Timeout>();

    function end(fault: Fault): void {
        clearTimeout(activeFaults.get(fault));
        activeFaults.delete(fault);
        injections.append({ fault, step: FaultStep.End });
    }

    const waitUntil = (at: number) => sleep(Math.max(0, startedAt + at - performance.now()));
    for (const fault of faults) {
        await waitUntil(fault.at);
        injections.append({ fault, step: FaultStep.Begin });
        activeFaults.set(
            fault,
            setTimeout(() => end(fault), fault.durationMs),
        );
    }
    await waitUntil(seconds * 1_000);
    [...activeFaults.keys()].forEach(end);
}
