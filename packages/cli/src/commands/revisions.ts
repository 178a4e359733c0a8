import type { Revision } from "@tanagertray/core";
import type { Command } from "../command.js";
import { formatTable, formatTime } from "../table.js";

export const revisions: Command = {
    arguments: "",
    description: "List the submitted revisions",
    example: "revisions",
    async run(_args, { client }) {
        const response = await client.get("/v1/revisions");
        return response.map(body => {
            const rows = (body as readonly Revision[]).map(revision => [
                revision.number,
                revision.state,
                revision.baseVersion,
                revision.operator,
                formatTime(revision.submittedAt),
                revision.rejectedBy,
            ]);
            const titles = ["revision", "state", "base", "operator", "submitted", "rejected by"];
            return { json: body, text: formatTable(titles, rows) };
        });
    },
};
