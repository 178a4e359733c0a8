import type { CallContext } from "./context.js";
import { headerValues } from "./headers.js";
import type { Rejection } from "./disposition.js";

/** The source of a rejected response, and the id expected in it. */
export interface RejectionSource {
    readonly callId: string;
    /** Id that the response must repeat in the header `idHeader`. */
    readonly id: string | undefined;
    readonly idHeader: string;
    /** Id of the backend server or name of the other host. */
    readonly server: string;
    readonly address: string;
    /** Whether a response head reports that the call did not run. */
    readonly saysNotRun: (head: NonNullable<Rejection["head"]>) => boolean;
}

/** Name of the event for a response that was not passed on, or only in part. */
export const responseRejectedEvent = "call.answerRejected";

/** Logs a response that was not passed on, or only in part. */
export function logRejection(
    { telemetry }: Pick<CallContext, "telemetry">,
    { callId, id, idHeader, server, address, saysNotRun }: RejectionSource,
    { cause, head, bytes, exchangesBefore }: Rejection,
): void {
    telemetry.event(responseRejectedEvent, "warn", {
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
