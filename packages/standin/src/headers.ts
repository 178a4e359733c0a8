/** Header names that the stand-ins share with the daemons and with each other. */
export const Header = {
    Caller: "tanagertray-caller",
    CallId: "tanagertray-call-id",
    DeadlineMs: "tanagertray-deadline-ms",
    Outcome: "tanagertray-outcome",
    Reason: "tanagertray-reason",
    Load: "tanagertray-load",
    LedgerId: "x-ledger-id",
} as const;

/** Query parameter that repeats the ledger id, for proxies that drop unknown request headers. */
export const ledgerIdParameter = "ledger-id";

/** Values of the header `Header.Outcome`. */
export const OutcomeHeader = { NotRun: "not-run", Unknown: "unknown" } as const;
