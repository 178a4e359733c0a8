import { isJsonObject } from "@tanagertray/core";
import { Left } from "purify-ts/Either";
import type { Command, Outcome } from "../command.js";
import { readRevisionNumber } from "../revisionArgument.js";
import { formatTable } from "../table.js";

/** Groups of a comparison, each a list of resource names or of objects with a `name`. */
const changeKinds = ["added", "changed", "removed"] as const;

export const diff: Command = {
    arguments: "<revision>",
    describe: "Compare a revision with the accepted version",
    example: "diff 12",
    run: async ([argument], { client }) =>
        readRevisionNumber(argument).caseOf<Promise<Outcome> | Outcome>({
            Left: failure => Left(failure),
            Right: async revision => {
                const answer = await client.get(`/v1/diff?revision=${revision}`);
                return answer.map(body => ({ json: body, text: formatChanges(body) }));
            },
        }),
};

function formatChanges(body: unknown): string {
    const document = isJsonObject(body) ? body : {};
    const rows = changeKinds.flatMap(kind => {
        const entries = document[kind];
        return (Array.isArray(entries) ? entries : []).map((entry: unknown) => [kind, formatEntry(entry)]);
    });
    return rows.length === 0 ? "no resource differs\n" : formatTable(["change", "resource"], rows);
}

function formatEntry(entry: unknown): string {
    return isJsonObject(entry) ? String(entry["name"] ?? JSON.stringify(entry)) : String(entry);
}
