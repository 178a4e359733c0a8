import { startRelay, type Relay } from "@tanagertray/standin";
import type { DemoBoard } from "./board.js";
import { readAdmin } from "./status.js";

export interface ControlByteMeter {
    /** Starts a relay in front of the platform for one host; returns its base URL. */
    addHost(platformPort: number): Promise<string>;
    /** Writes the current counts. */
    measure(): Promise<void>;
    close(): Promise<void>;
}

/**
 * Counts the control bytes of all hosts and writes the `controlBytes` section. One relay per host counts the bytes of
 * its platform requests. Links between daemons use the advertised address, so a relay in front of the peer listener
 * would miss most of them; their bytes are read from `/metrics` instead.
 */
export function createControlByteMeter(board: DemoBoard): ControlByteMeter {
    const section = board.claimValue("controlBytes");
    const relays: Relay[] = [];
    return {
        async addHost(platformPort) {
            const relay = await startRelay({ target: `127.0.0.1:${platformPort}` });
            relays.push(relay);
            return `http://${relay.address}`;
        },
        async measure() {
            const platform = relays
                .map(relay => relay.counters())
                .reduce(
                    (sum, { bytesToTarget, bytesFromTarget }) => sum + bytesToTarget + bytesFromTarget,
                    0,
                );
            const reports = await Promise.all(
                board.read("hosts").map(async host => peerBytesIn(await readAdmin(host, "/metrics"))),
            );
            const reportedBytes = reports.filter(bytes => bytes !== undefined);
            const peer = reportedBytes.reduce((sum, bytes) => sum + bytes, 0);
            section.write({ platform, peer: reportedBytes.length === 0 ? undefined : peer });
        },
        async close() {
            await Promise.all(relays.map(relay => relay.close()));
        },
    };
}

function peerBytesIn(metrics: string | undefined): number | undefined {
    const pattern = /^tanagertray_(?:peer|control)_\w*bytes\w*(?:\{.*\})? (\d+)/gm;
    const samples = [...(metrics ?? "").matchAll(pattern)];
    return samples.length === 0 ? undefined : samples.reduce((sum, sample) => sum + Number(sample[1]), 0);
}
