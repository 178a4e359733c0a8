import { isJsonObject } from "@tanagertray/core";
import { Left } from "purify-ts/Either";
import type { Command, Outcome } from "../command.js";
import { parseRevisionNumber } from "../parseRevisionNumber.js";
import { formatTable } from "../table.js";

/** Keys of the response; each holds a list of resource names or of objects with a `name`. */
const changeKinds = ["added", "changed", "removed"] as const;

export const diff: Command = {
    arguments: "<revision>",
    description: "Compare a revision with the accepted version",
    example: "diff 12",
    run: async ([argument], { client }) =>
        parseRevisionNumber(argument).caseOf<Promise<Outcome> | Outcome>({
            Left: failure => Left(failure),
            Right: async revision => {
                const response = await client.get(`/v1/diff?revision=${revision}`);
                return response.map(body => ({ json: body, text: formatChanges(body) }));
            },
        }),
};

function formatChanges(body: unknown): string {
    const document = isJsonObject(body) ? body : {};
    const rows = changeKinds.flatMap(kind => {
        const entries = document[kind];
        return (Array.isArray(entries) ? entries : []).map((entry: unknown) => [kind, formatEntry(entry)]);
    });
    return rows.length === 0 ? "no differences\n" : formatTable(["change", "resource"], rows);
}

function formatEntry(entry: unknown): string {
    return isJsonObject(entry) ? String(entry["name"] ?? JSON.stringify(entry)) : String(entry);
}
