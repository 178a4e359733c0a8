import type { Problem, Readiness } from "@tanagertray/core";
import type { Command } from "../command.js";
import { formatTable } from "../table.js";

/** Response body of `GET /v1/status`. */
interface HostStatus {
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
    description: "Show the state of one host",
    example: "status --admin 10.0.0.1:8082",
    async run(_args, { client }) {
        const response = await client.get("/v1/status");
        return response.map(body => ({ json: body, text: formatStatus(body as HostStatus) }));
    },
};

function formatStatus(hostStatus: HostStatus): string {
    const { rejected, readiness, platform } = hostStatus;
    const rows = [
        ["host", hostStatus.host],
        ["failure domain", hostStatus.failureDomain],
        ["region", hostStatus.region],
        ["version", hostStatus.version],
        ["accepted version", platform.head?.version ?? "unknown"],
        ["rejected", rejected === undefined ? "none" : `version ${rejected.version}: ${rejected.reason}`],
        ["readiness", `${readiness.state} (${readiness.reason})`],
        ["platform", platform.reachable ? "reachable" : "unreachable"],
        ["known hosts", hostStatus.hosts],
        ["peer links", hostStatus.peerLinks.length],
        ...hostStatus.backendServers.map(server => [
            "backend server",
            `${server.id} of ${server.service}, ${server.state}`,
        ]),
    ];
    return formatTable(["what", "value"], rows);
}
