import { maxTimedOperations, type ServiceAdmission } from "./admission.js";
import type { Capacity } from "./capacity.js";
import { limitAfterResponse, limitAfterSilence, maxConcurrencyLimits } from "./concurrencyLimit.js";
import { addServiceTime } from "./serviceTimes.js";

/** Records the time until the response head of a call to a backend server with the given slots. */
export function recordResponseTime(
    state: ServiceAdmission,
    { server, slots }: Capacity,
    { operation, elapsedMs }: { readonly operation: string; readonly elapsedMs: number },
): void {
    const { responseTimes, concurrencyLimits } = state;
    if (responseTimes.has(operation) || responseTimes.size < maxTimedOperations) {
        responseTimes.set(operation, addServiceTime(responseTimes.get(operation), elapsedMs));
    }
    const limit = limitAfterResponse(concurrencyLimits.get(server.id), slots);
    if (limit === undefined) {
        concurrencyLimits.delete(server.id);
    } else {
        concurrencyLimits.set(server.id, limit);
    }
}

/** Records that a backend server with the given slots left a call unanswered. */
export function recordSilence({ concurrencyLimits }: ServiceAdmission, { server, slots }: Capacity): void {
    concurrencyLimits.set(server.id, limitAfterSilence(concurrencyLimits.get(server.id), slots));
    const [oldest] = concurrencyLimits.keys();
    if (concurrencyLimits.size > maxConcurrencyLimits && oldest !== undefined) {
        concurrencyLimits.delete(oldest);
    }
}
