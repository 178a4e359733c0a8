import { CallOutcome, type Selection } from "@tanagertray/core";
import { makeAttempt, type AttemptOutcome } from "./attempt.js";
import type { CallContext } from "./context.js";
import type { EntryCall } from "./entryCall.js";
import { headerValue, outcomeHeader, responseHeaders } from "./headers.js";
import { makeHedgedAttempt, mayHedge, type AttemptOptions } from "./hedging.js";
import { createSink, isRequestComplete } from "./responses.js";

const outcomeHeaders: ReadonlySet<string> = new Set([outcomeHeader]);
const noHeaders: ReadonlySet<string> = new Set();
const unknownOutcomeHeader = [outcomeHeader, CallOutcome.Unknown];

export interface EntryAttemptOptions {
    readonly selection: Selection;
    readonly attemptId: string;
    /** Selects a host that the call was not sent to yet, for a second attempt beside this one. */
    readonly selectOther: () => Selection | undefined;
}

/** Sends a call of a caller to a host, and passes its response on. */
export function makeEntryAttempt(
    context: CallContext,
    entry: EntryCall,
    { selection, attemptId, selectOther }: EntryAttemptOptions,
): Promise<AttemptOutcome> {
    const send = (options: AttemptOptions) => sendAttempt(context, entry, options);
    return mayHedge(entry)
        ? makeHedgedAttempt(context, entry, { selection, attemptId, send, selectOther })
        : send({ selection, attemptId, cancellation: entry.cancellation });
}

async function sendAttempt(
    context: CallContext,
    entry: EntryCall,
    { selection, attemptId, cancellation, onSilence, onAnswer }: AttemptOptions,
): Promise<AttemptOutcome> {
    const { call, callId, deadline, startBy, response, traceparent } = entry;
    const { arrivedAt, readAt } = entry.stages;
    const stages = { arrivedAt, readAt, startedAt: entry.retries === 0 ? readAt : context.now() };
    entry.stages = stages;
    entry.selection = selection;
    const body = entry.body.open();
    const outcome = await makeAttempt(context, {
        call,
        callId,
        attemptId,
        deadline,
        startBy,
        selection,
        body,
        onSilence,
        traceparent,
        cancellation,
        stages,
        onHead(status, raw) {
            onAnswer?.();
            entry.stages = stages;
            entry.selection = selection;
            entry.status = status;
            const closes = context.board.read("shutdown").requested && isRequestComplete(response);
            const connectionHeader = closes ? ["connection", "close"] : [];
            // A "not run" response covers this attempt only, not another one that was lost or is in progress.
            const allowedHeaders = entry.mayHaveRun ? noHeaders : outcomeHeaders;
            const outcomeOverride = entry.mayHaveRun && reportsNotRun(raw) ? unknownOutcomeHeader : [];
            response.writeHead(status, [
                ...responseHeaders(raw, allowedHeaders),
                ...outcomeOverride,
                ...connectionHeader,
            ]);
            return createSink(response);
        },
    });
    body.close();
    return outcome;
}

function reportsNotRun(raw: readonly string[]): boolean {
    return headerValue(raw, outcomeHeader) === CallOutcome.NotRun;
}
