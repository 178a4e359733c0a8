import { Header, OutcomeHeader } from "../headers.js";
import { CallOutcome } from "../ledger.js";

const outcomesByHeader: Readonly<Record<string, CallOutcome>> = {
    [OutcomeHeader.NotRun]: CallOutcome.NotRun,
    [OutcomeHeader.Unknown]: CallOutcome.Unknown,
};

const firstFailureStatus = 300;

/** Outcome of a complete response. An error without an outcome header does not tell whether the call ran. */
export function outcomeOfResponse(status: number, headers: Readonly<Record<string, unknown>>): CallOutcome {
    const declared = outcomesByHeader[String(headers[Header.Outcome])];
    return declared ?? (status < firstFailureStatus ? CallOutcome.Completed : CallOutcome.Unknown);
}

/** Codes of errors while connecting, before any byte of the call was sent. */
const connectErrorCodes: ReadonlySet<string> = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/** Outcome of a call that failed without a complete response. */
export function outcomeOfError(code: string): CallOutcome {
    return connectErrorCodes.has(code) ? CallOutcome.NotRun : CallOutcome.Cut;
}
