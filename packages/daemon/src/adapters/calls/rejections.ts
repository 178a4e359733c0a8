import type { CallContext } from "./context.js";
import { headerValues } from "./headers.js";
import type { Rejection } from "./disposition.js";

/** Where a response came from, and what was expected of it. */
export interface RejectionSource {
    readonly callId: string;
    /** Id that the response should repeat, and the header for it. */
    readonly id: string | undefined;
    readonly idHeader: string;
    /** Id of the backend server, or name of the other host. */
    readonly server: string;
    readonly address: string;
    /** Whether a head says that the call did not run. */
    readonly saysNotRun: (head: NonNullable<Rejection["head"]>) => boolean;
}

/** Event of a response that was not passed on, or not to its end. */
export const answerRejectedEvent = "call.answerRejected";

/** Leaves a line for a response that was not passed on, or not to its end. */
export function noteRejection(
    { telemetry }: Pick<CallContext, "telemetry">,
    { callId, id, idHeader, server, address, saysNotRun }: RejectionSource,
    { cause, head, bytes, exchangesBefore }: Rejection,
): void {
    telemetry.event(answerRejectedEvent, "warn", {
        callId,
        cause,
        expectedId: id,
        receivedId: head === undefined ? undefined : headerValues(head.raw, idHeader).join(", "),
        status: head?.status,
        saysNotRun: head !== undefined && saysNotRun(head),
        bytes,
        server,
        address,
        exchangesBefore,
    });
}
