import type { HostRecord } from "@tanagertray/core";
import type { Command } from "../command.js";
import { formatTable } from "../table.js";

export const hosts: Command = {
    arguments: "",
    description: "List the known hosts with their versions",
    example: "hosts",
    async run(_args, { client }) {
        const response = await client.get("/v1/hosts");
        return response.map(body => {
            const rows = (body as { hosts: readonly HostRecord[] }).hosts.map(host => [
                host.host,
                host.state,
                host.version,
                host.failureDomain,
                host.region,
                host.offers.map(offer => offer.service).join(","),
                host.rejected === undefined ? "" : `${host.rejected.version}: ${host.rejected.reason}`,
            ]);
            const titles = ["host", "state", "version", "failure domain", "region", "services", "rejected"];
            return { json: body, text: formatTable(titles, rows) };
        });
    },
};
