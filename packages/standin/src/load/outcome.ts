import { Header, OutcomeHeader } from "../headers.js";
import { CallOutcome } from "../ledger.js";

const outcomesByHeader: Readonly<Record<string, CallOutcome>> = {
    [OutcomeHeader.NotRun]: CallOutcome.NotRun,
    [OutcomeHeader.Unknown]: CallOutcome.Unknown,
};

const firstFailureStatus = 300;

/** Outcome of a complete response. An error without an outcome header says nothing about the run. */
export function outcomeOfResponse(status: number, headers: Readonly<Record<string, unknown>>): CallOutcome {
    const stated = outcomesByHeader[String(headers[Header.Outcome])];
    return stated ?? (status < firstFailureStatus ? CallOutcome.Completed : CallOutcome.Unknown);
}

/** Errors before a connection exists: nothing of the call was sent. */
const neverSent: ReadonlySet<string> = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/** Outcome of a call without a complete response. */
export function outcomeOfError(code: string): CallOutcome {
    return neverSent.has(code) ? CallOutcome.NotRun : CallOutcome.Cut;
}
