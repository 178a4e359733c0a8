import type { Board } from "../../board.js";
import type { Cancellation } from "./cancellation.js";
import type { Admissions } from "./admissions.js";
import type { Arrivals } from "./arrivals.js";
import type { BodyTransfers } from "./bodyTransfers.js";
import type { CallDialect } from "./dialect.js";
import type { EntryContacts } from "./entryContacts.js";
import type { Fates } from "./fates.js";
import type { Observations } from "./observations.js";
import type { Pools } from "./pools.js";
import type { RetryBudgets } from "./retryBudgets.js";
import type { Telemetry } from "./telemetry.js";
import type { Timers } from "./timers.js";

/** State and services shared by the modules of the call adapter. */
export interface CallContext {
    readonly board: Board;
    readonly now: () => number;
    readonly random: () => number;
    readonly pools: Pools;
    readonly admissions: Admissions;
    readonly bodyTransfers: BodyTransfers;
    readonly fates: Fates;
    readonly entryContacts: EntryContacts;
    readonly observations: Observations;
    readonly telemetry: Telemetry;
    readonly timers: Timers;
    readonly arrivals: Arrivals;
    readonly dialect: CallDialect;
    /** Budgets for attempts after one that may have reached a backend server. */
    readonly retryBudgets: RetryBudgets;
    /** Budgets for attempts after one that reached no backend server. */
    readonly redirectBudgets: RetryBudgets;
    /** Cancellations of all calls in progress. */
    readonly cancellations: Set<Cancellation>;
}
