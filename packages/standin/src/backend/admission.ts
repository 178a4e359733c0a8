import type { BackendBoard } from "./board.js";

export const Refusal = {
    Shedding: "shedding",
    Draining: "draining",
    NoSlot: "no-slot",
    DeadlinePassed: "deadline-passed",
} as const;
export type Refusal = (typeof Refusal)[keyof typeof Refusal];

type Check = (board: BackendBoard, deadlineMs: number | undefined) => boolean;

/** Reasons to refuse a call before anything is done, in order of precedence. */
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

/** How much slower than warm a backend server is at its start. */
const coldFactor = 5;

/** Time of one call in milliseconds, which falls linearly to the warm figure over the cold start. */
export function workTimeMs(board: BackendBoard, now: number): number {
    const { coldStartMs, startedAt } = board.read("identity");
    const coldShare = coldStartMs === 0 ? 0 : Math.max(0, 1 - (now - startedAt) / coldStartMs);
    return board.read("faults").workMs * (1 + (coldFactor - 1) * coldShare);
}
