import { setTimeout as sleep } from "node:timers/promises";
import { Step, type SoakBoard } from "./board.js";
import type { Fault } from "./faults.js";

/** Begins each fault of the schedule at its time and ends it after its duration; at last, ends all. */
export async function playFaults(board: SoakBoard, faults: readonly Fault[], seconds: number): Promise<void> {
    const injections = board.claimFeed("injections");
    const startedAt = performance.now();
    const open = new Map<Fault, NodeJS.Timeout>();

    function end(fault: Fault): void {
        clearTimeout(open.get(fault));
        open.delete(fault);
        injections.append({ fault, step: Step.End });
    }

    const waitUntil = (at: number) => sleep(Math.max(0, startedAt + at - performance.now()));
    for (const fault of faults) {
        await waitUntil(fault.at);
        injections.append({ fault, step: Step.Begin });
        open.set(
            fault,
            setTimeout(() => end(fault), fault.ms),
        );
    }
    await waitUntil(seconds * 1_000);
    [...open.keys()].forEach(end);
}
