import type { CallContext } from "./context.js";
import type { ExchangeResult } from "./exchange.js";

export interface UnreachableTarget {
    readonly callId: string;
    /** Id of the backend server or name of the other host. */
    readonly target: string;
    readonly address: string;
}

/** Name of the event for a call that could not be written to its target. */
export const unreachableEvent = "call.unreachable";

/** Logs why nothing of a call was written. */
export function logUnreachable(
    { telemetry }: Pick<CallContext, "telemetry">,
    { callId, target, address }: UnreachableTarget,
    { error }: ExchangeResult,
): void {
    telemetry.event(unreachableEvent, "info", { callId, target, address, error: String(error) });
}
