import { compareRecords } from "./order.js";
import { HostState, type HostRecord } from "./record.js";

/**
 * The record with which a host refutes a record of itself, or `undefined` when its own record already wins.
 * A host that is leaving refutes nothing.
 */
export function refute(self: HostRecord, heard: HostRecord): HostRecord | undefined {
    if (heard.host !== self.host || self.state === HostState.Left || compareRecords(heard, self) <= 0) {
        return undefined;
    }
    const spent = heard.incarnation > self.incarnation || heard.state === HostState.Left;
    return spent
        ? takeNextIncarnation(self, heard.incarnation)
        : { ...self, counter: Math.max(self.counter, heard.counter) + 1 };
}

/** The record of the incarnation that follows the reported one. */
export function takeNextIncarnation(self: HostRecord, reported: number): HostRecord {
    return { ...self, incarnation: Math.max(self.incarnation, reported) + 1, counter: 0 };
}
