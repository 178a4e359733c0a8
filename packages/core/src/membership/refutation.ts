import { compareRecords } from "./order.js";
import { HostState, type HostRecord } from "./record.js";

/**
 * Returns the record with which a host refutes a reported record of itself, or `undefined` if its own record is not
 * older. A host that has left does not refute anything.
 */
export function refute(self: HostRecord, reported: HostRecord): HostRecord | undefined {
    if (reported.host !== self.host || self.state === HostState.Left || compareRecords(reported, self) <= 0) {
        return undefined;
    }
    const isIncarnationOver = reported.incarnation > self.incarnation || reported.state === HostState.Left;
    return isIncarnationOver
        ? withNextIncarnation(self, reported.incarnation)
        : { ...self, counter: Math.max(self.counter, reported.counter) + 1 };
}

/** Returns the record with an incarnation higher than both its own and the reported one. */
export function withNextIncarnation(self: HostRecord, reported: number): HostRecord {
    return { ...self, incarnation: Math.max(self.incarnation, reported) + 1, counter: 0 };
}
