import type { BackendBoard } from "./board.js";

export const Refusal = {
    Shedding: "shedding",
    Draining: "draining",
    NoSlot: "no-slot",
    DeadlinePassed: "deadline-passed",
} as const;
export type Refusal = (typeof Refusal)[keyof typeof Refusal];

type Check = (board: BackendBoard, deadlineMs: number | undefined) => boolean;

/** Reasons to refuse a call before it runs, in order of precedence. */
const checks: Readonly<Record<Refusal, Check>> = {
    [Refusal.Draining]: board => board.read("faults").draining,
    [Refusal.Shedding]: board => board.read("faults").shed,
    [Refusal.DeadlinePassed]: (_board, deadlineMs) => deadlineMs !== undefined && !(deadlineMs > 0),
    [Refusal.NoSlot]: board => board.read("counters").inFlight >= board.read("identity").slots,
};

export function findRefusal(board: BackendBoard, deadlineMs: number | undefined): Refusal | undefined {
    const found = Object.entries(checks).find(([, refuses]) => refuses(board, deadlineMs));
    return found?.[0] as Refusal | undefined;
}

/** Factor by which calls are slower right after the start. */
const coldStartSlowdown = 5;

/** Duration of one call in milliseconds; decreases linearly to `workMs` during the cold start. */
export function workTimeMs(board: BackendBoard, now: number): number {
    const { coldStartMs, startedAt } = board.read("identity");
    const coldStartRemaining = coldStartMs === 0 ? 0 : Math.max(0, 1 - (now - startedAt) / coldStartMs);
    return board.read("faults").workMs * (1 + (coldStartSlowdown - 1) * coldStartRemaining);
}
