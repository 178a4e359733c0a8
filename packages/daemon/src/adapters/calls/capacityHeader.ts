import type { CapacityReport } from "@tanagertray/core";

/** Response header with the calls, slots and mean service time of a service on this host. */
export const capacityHeader = "tanagertray-capacity";

const capacityPattern = /^(\d{1,9});(\d{1,9});(\d{1,9}(?:\.\d{1,3})?)$/;

export function encodeCapacity(report: CapacityReport | undefined): readonly string[] {
    return report === undefined
        ? []
        : [capacityHeader, `${report.calls};${report.slots};${report.serviceMs.toFixed(1)}`];
}

/** Decodes the header; `undefined` when it is missing or not valid. */
export function decodeCapacity(text: string | undefined): CapacityReport | undefined {
    const [, calls, slots, serviceMs] = capacityPattern.exec(text ?? "") ?? [];
    return calls === undefined
        ? undefined
        : { calls: Number(calls), slots: Number(slots), serviceMs: Number(serviceMs) };
}
