import type { Problem, Readiness } from "@tanagertray/core";
import type { Command } from "../command.js";
import { formatTable } from "../table.js";

/** What `/v1/status` answers. */
interface Status {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly version: number;
    readonly rejected?: { readonly version: number; readonly reason: Problem["message"] };
    readonly readiness: Readiness;
    readonly platform: { readonly reachable: boolean; readonly head?: { readonly version: number } };
    readonly backendServers: readonly {
        readonly id: string;
        readonly service: string;
        readonly state: string;
    }[];
    readonly peerLinks: readonly unknown[];
    readonly hosts: number;
}

export const status: Command = {
    arguments: "",
    describe: "Show the state of one host",
    example: "status --admin 10.0.0.1:8082",
    async run(_args, { client }) {
        const answer = await client.get("/v1/status");
        return answer.map(body => ({ json: body, text: formatStatus(body as Status) }));
    },
};

function formatStatus(found: Status): string {
    const { rejected, readiness, platform } = found;
    const rows = [
        ["host", found.host],
        ["failure domain", found.failureDomain],
        ["region", found.region],
        ["version", found.version],
        ["accepted version", platform.head?.version ?? "unknown"],
        ["rejected", rejected === undefined ? "none" : `version ${rejected.version}: ${rejected.reason}`],
        ["readiness", `${readiness.state} (${readiness.reason})`],
        ["platform", platform.reachable ? "reachable" : "unreachable"],
        ["known hosts", found.hosts],
        ["peer links", found.peerLinks.length],
        ...found.backendServers.map(server => [
            "backend server",
            `${server.id} of ${server.service}, ${server.state}`,
        ]),
    ];
    return formatTable(["what", "value"], rows);
}
