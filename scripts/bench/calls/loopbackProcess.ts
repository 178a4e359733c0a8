/** One part of the `added-latency` benchmark as a process of its own; the parent sends it messages. */
import { startBackendServer } from "@tanagertray/standin";
import type { HostRecord } from "@tanagertray/core";
import { benchmarkService, startLoopbackHost } from "./loopbackHost.js";

export const PartKind = { Daemon: "daemon", Backend: "backend" } as const;
export type PartKind = (typeof PartKind)[keyof typeof PartKind];

export type PartRequest =
    | { readonly ask: "records"; readonly records: readonly HostRecord[] }
    | { readonly ask: "cpu" }
    | { readonly ask: "close" };

export interface PartStarted {
    readonly address: string;
    readonly callsUrl: string;
    readonly record?: HostRecord;
}

interface Part {
    readonly started: PartStarted;
    setRecords(records: readonly HostRecord[]): void;
    close(): Promise<void>;
}

const [kind, host = "", backendServer = ""] = process.argv.slice(2);

const starters = {
    [PartKind.Daemon]: async (): Promise<Part> => {
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
    [PartKind.Backend]: async (): Promise<Part> => {
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
} satisfies Record<PartKind, () => Promise<Part>>;

const part = await starters[kind as PartKind]();
const handlers = {
    records: ({ records }: { records: readonly HostRecord[] }) => part.setRecords(records),
    cpu: () => process.send?.({ cpuMicros: Object.values(process.cpuUsage()).reduce((a, b) => a + b, 0) }),
    close: () => void part.close().then(() => process.exit(0)),
} satisfies Record<PartRequest["ask"], (request: never) => void>;
process.on("message", (request: PartRequest) => handlers[request.ask](request as never));
// A parent that failed must not leave this process behind.
process.once("disconnect", () => process.exit(0));
process.send?.(part.started);
