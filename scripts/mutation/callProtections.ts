import type { Protection } from "./protections.js";

const calls = "packages/daemon/src/adapters/calls";

/** Protections behind the guarantees for calls. */
export const callProtections: readonly Protection[] = [
    {
        name: "no retry once a non-repeatable operation was sent",
        file: "packages/core/src/calls/retry.ts",
        search: "repeatable && replayable ? NextStep.Retry : remote",
        replacement: "(repeatable || true) && replayable ? NextStep.Retry : remote",
    },
    {
        name: "deadline counted from the arrival of a call at a paused daemon",
        file: `${calls}/incoming.ts`,
        search: "return readAt - lastTurn > stallMs ? lastTurn : readAt;",
        replacement: "return readAt - lastTurn > Infinity ? lastTurn : readAt;",
    },
    {
        name: "no claim of not run after an attempt that may have run",
        file: `${calls}/handleEntry.ts`,
        search: "const allowedHeaders = entry.mayHaveRun ? noHeaders : outcomeHeaders;",
        replacement:
            "const allowedHeaders = entry.mayHaveRun && !reportsNotRun(raw) ? noHeaders : outcomeHeaders;",
    },
];
