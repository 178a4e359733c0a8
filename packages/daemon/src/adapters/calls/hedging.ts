import { AttemptFailure, type Selection } from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import { mayHaveReachedBackend, type AttemptOutcome } from "./attempt.js";
import { createCancellation, type Cancellation } from "./cancellation.js";
import { maxHostsTried } from "./constants.js";
import type { CallContext } from "./context.js";
import type { EntryCall } from "./entryCall.js";
import { answeredElsewhere } from "./incoming.js";

/** How one attempt of a call is sent. */
export interface AttemptOptions {
    readonly selection: Selection;
    readonly attemptId: string;
    readonly cancellation: Cancellation;
    /** Called when the backend server is likely not to answer. */
    readonly onSilence?: () => void;
    /** Called before the head of the response is passed on. */
    readonly onAnswer?: () => void;
}

interface HedgeOptions {
    readonly selection: Selection;
    readonly attemptId: string;
    readonly send: (options: AttemptOptions) => Promise<AttemptOutcome>;
    /** Selects a host that the call was not sent to yet. */
    readonly selectOther: () => Selection | undefined;
}

const unansweredAttempt = new Error("the backend server is likely not to answer");

/** Whether the call may run twice and can be sent to two hosts at a time, because it has no body. */
export function mayHedge({ call }: EntryCall): boolean {
    return call.matched.operation.repeatable && !call.head.hasBody;
}

/**
 * Makes an attempt, and a second one beside it once its backend server is likely not to answer. The first answer is passed
 * on and ends the other attempt. Until then the first attempt goes on: other hosts may refuse the call, and the backend
 * server may only be slow.
 */
export async function makeHedgedAttempt(
    context: CallContext,
    entry: EntryCall,
    { selection, attemptId, send, selectOther }: HedgeOptions,
): Promise<AttemptOutcome> {
    const first = openCancellation(entry);
    const second = openCancellation(entry);
    let hedge: Promise<AttemptOutcome | undefined> | undefined;

    async function sendToOthers(): Promise<AttemptOutcome | undefined> {
        let outcome: AttemptOutcome | undefined;
        for (let hosts = 0; hosts < maxHostsTried && !second.cancellation.cancelled; hosts += 1) {
            const other = selectOther();
            if (other === undefined || (hosts === 0 && !consumeRetry(context, entry))) {
                break;
            }
            entry.triedHosts.add(other.target.host);
            entry.retries += 1;
            entry.mayHaveRun = true;
            outcome = await send({
                selection: other,
                attemptId: randomUUID(),
                cancellation: second.cancellation,
                onAnswer: () => first.cancellation.cancel(unansweredAttempt),
            });
            if (mayHaveReachedBackend(outcome)) {
                entry.backendAttempts += 1;
                break;
            }
        }
        return outcome;
    }

    const outcome = await send({
        selection,
        attemptId,
        cancellation: first.cancellation,
        onSilence() {
            if (entry.status === undefined && !first.cancellation.cancelled) {
                hedge ??= sendToOthers();
            }
        },
        onAnswer: () => second.cancellation.cancel(answeredElsewhere),
    });
    const otherOutcome = await hedge;
    first.close();
    second.close();
    return isAnswered(outcome) || otherOutcome === undefined || !isAnswered(otherOutcome)
        ? outcome
        : otherOutcome;
}

/** Whether a response head was passed on. */
function isAnswered({ failure }: AttemptOutcome): boolean {
    return failure === undefined || failure === AttemptFailure.Truncated;
}

function consumeRetry({ retryBudgets }: CallContext, { call, backendAttempts }: EntryCall): boolean {
    const { service, maxAttempts } = call.matched;
    return retryBudgets.consumeRetry(service.name, { retries: backendAttempts, maxAttempts });
}

/** Opens a cancellation that follows that of the call. */
function openCancellation({ cancellation: parent }: EntryCall): {
    readonly cancellation: Cancellation;
    close(): void;
} {
    const cancellation = createCancellation();
    const cancelWithCall = () => cancellation.cancel(parent.reason ?? unansweredAttempt);
    if (parent.cancelled) {
        cancelWithCall();
    }
    parent.onCancel(cancelWithCall);
    return { cancellation, close: () => parent.offCancel(cancelWithCall) };
}
