import type { CapacityReport } from "@tanagertray/core";

/** Header by which a daemon tells others how busy its backend servers of the service are. */
export const capacityHeader = "tanagertray-capacity";

const pattern = /^(\d{1,9});(\d{1,9});(\d{1,9}(?:\.\d{1,3})?)$/;

export function encodeCapacity(report: CapacityReport | undefined): readonly string[] {
    return report === undefined
        ? []
        : [capacityHeader, `${report.calls};${report.slots};${report.serviceMs.toFixed(1)}`];
}

/** Decodes the header; `undefined` when there is none or it is not valid. */
export function decodeCapacity(text: string | undefined): CapacityReport | undefined {
    const [, calls, slots, serviceMs] = pattern.exec(text ?? "") ?? [];
    return calls === undefined
        ? undefined
        : { calls: Number(calls), slots: Number(slots), serviceMs: Number(serviceMs) };
}
