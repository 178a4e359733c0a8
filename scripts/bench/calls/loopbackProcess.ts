/** Runs a daemon or the backend server of the `added-latency` benchmark in a process controlled over IPC. */
import { startBackendServer } from "@tanagertray/standin";
import type { HostRecord } from "@tanagertray/core";
import { benchmarkService, startLoopbackHost } from "./loopbackHost.js";

export const ProcessKind = { Daemon: "daemon", Backend: "backend" } as const;
export type ProcessKind = (typeof ProcessKind)[keyof typeof ProcessKind];

export type ProcessRequest =
    | { readonly ask: "records"; readonly records: readonly HostRecord[] }
    | { readonly ask: "cpu" }
    | { readonly ask: "close" };

export interface ProcessStarted {
    readonly address: string;
    readonly callsUrl: string;
    readonly record?: HostRecord;
}

interface ProcessRole {
    readonly started: ProcessStarted;
    setRecords(records: readonly HostRecord[]): void;
    close(): Promise<void>;
}

const [kind, host = "", backendServer = ""] = process.argv.slice(2);

const starters = {
    [ProcessKind.Daemon]: async (): Promise<ProcessRole> => {
        const options = { host, key: process.env["TANAGERTRAY_BENCH_KEY"] ?? "" };
        const daemon = await startLoopbackHost(
            backendServer === "" ? options : { ...options, backendServer },
        );
        const { record, callsUrl, peerAddress } = daemon;
        return {
            started: { address: peerAddress, callsUrl, record },
            setRecords: daemon.setRecords,
            close: daemon.close,
        };
    },
    [ProcessKind.Backend]: async (): Promise<ProcessRole> => {
        const backend = await startBackendServer({
            id: "b",
            service: benchmarkService,
            faults: { workMs: 0 },
        });
        return {
            started: { address: backend.address, callsUrl: backend.url },
            setRecords: () => undefined,
            close: backend.close,
        };
    },
} satisfies Record<ProcessKind, () => Promise<ProcessRole>>;

const role = await starters[kind as ProcessKind]();
const handlers = {
    records: ({ records }: { records: readonly HostRecord[] }) => role.setRecords(records),
    cpu: () => process.send?.({ cpuMicros: Object.values(process.cpuUsage()).reduce((a, b) => a + b, 0) }),
    close: () => void role.close().then(() => process.exit(0)),
} satisfies Record<ProcessRequest["ask"], (request: never) => void>;
process.on("message", (request: ProcessRequest) => handlers[request.ask](request as never));
// The process must not outlive a parent that has crashed.
process.once("disconnect", () => process.exit(0));
process.send?.(role.started);
