#!/usr/bin/env node
import { parseArgs } from "node:util";
import { startBackendServer } from "./backendServer.js";

/** Time for calls in flight to finish after SIGTERM. */
const drainTimeoutMs = 5_000;

const { values } = parseArgs({
    options: {
        id: { type: "string" },
        service: { type: "string" },
        port: { type: "string", default: "0" },
        daemon: { type: "string" },
        slots: { type: "string", default: "20" },
        connections: { type: "string", default: "130" },
        "work-ms": { type: "string", default: "2" },
        "cold-start-ms": { type: "string", default: "0" },
    },
});
if (values.id === undefined || values.service === undefined) {
    process.stderr.write("--id and --service are required\n");
    process.exit(2);
}
// The token is read from the environment, because command-line arguments are visible to every process.
const token = process.env["TANAGERTRAY_BACKEND_TOKEN"] ?? "";
const server = await startBackendServer({
    id: values.id,
    service: values.service,
    port: Number(values.port),
    slots: Number(values.slots),
    connections: Number(values.connections),
    coldStartMs: Number(values["cold-start-ms"]),
    faults: { workMs: Number(values["work-ms"]) },
    ...(values.daemon === undefined ? {} : { daemon: { url: values.daemon, token } }),
});
process.stdout.write(
    `${JSON.stringify({ event: "backendServer.started", id: values.id, url: server.url })}\n`,
);
process.once("SIGTERM", () => {
    void server
        .drain(drainTimeoutMs)
        .then(() => server.close())
        .then(() => process.exit(0));
});
