#!/usr/bin/env node
import { parseArgs } from "node:util";
import type { AnswerMode, SiteRun } from "./site/siteRun.js";
import { startSiteServer } from "./site/siteServer.js";

/** Command that the parent process sends over the IPC channel. */
export interface SiteServerCommand {
    readonly command: "drain" | "leave" | "setMode";
    readonly mode?: AnswerMode;
}

/** Fields of a run that are reported to the parent process when the run starts. */
export type ReportedRun = Pick<SiteRun, "id" | "url" | "startedAt" | "stalledMs" | "mode">;

/** Message to the parent process over the IPC channel. */
export type SiteServerReport =
    | { readonly event: "started"; readonly address: string }
    | ({ readonly event: "run" } & ReportedRun)
    | { readonly event: "acknowledged"; readonly status: number; readonly at: number };

const { values } = parseArgs({
    options: {
        id: { type: "string", default: "" },
        service: { type: "string", default: "" },
        daemon: { type: "string", default: "" },
        port: { type: "string", default: "0" },
        "work-ms": { type: "string", default: "0" },
        "beat-ms": { type: "string", default: "200" },
        slots: { type: "string", default: "8" },
        announced: { type: "string", default: "" },
        "checks-instance": { type: "boolean", default: false },
    },
});

function report(event: SiteServerReport): void {
    process.send?.(event);
}

const server = await startSiteServer({
    id: values.id,
    service: values.service,
    daemon: values.daemon,
    port: Number(values.port),
    workMs: Number(values["work-ms"]),
    announcementIntervalMs: Number(values["beat-ms"]),
    slots: Number(values.slots),
    announced: values.announced,
    checksInstance: values["checks-instance"],
    onRun: ({ id, url, startedAt, stalledMs, mode }) =>
        report({ event: "run", id, url, startedAt, stalledMs, mode }),
});
report({ event: "started", address: server.address });

const handlers = {
    drain: () => server.drain(),
    leave: () => server.deregister(),
    setMode: ({ mode }) => Promise.resolve(mode === undefined ? 0 : (server.setMode(mode), 0)),
} satisfies Record<SiteServerCommand["command"], (command: SiteServerCommand) => Promise<number>>;

process.on("message", (command: SiteServerCommand) => {
    void handlers[command.command](command).then(
        status => report({ event: "acknowledged", status, at: Date.now() }),
        () => report({ event: "acknowledged", status: 0, at: Date.now() }),
    );
});
process.once("disconnect", () => process.exit(0));
