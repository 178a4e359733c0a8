import { Left } from "purify-ts/Either";
import type { Command, Outcome } from "../command.js";
import { readRevisionNumber } from "../revisionArgument.js";

export const reject: Command = {
    arguments: "<revision>",
    describe: "Reject a revision, so that it cannot be accepted",
    example: "reject 12",
    run: async ([argument], { client, operator }) =>
        readRevisionNumber(argument).caseOf<Promise<Outcome> | Outcome>({
            Left: failure => Left(failure),
            Right: async revision => {
                const answer = await client.post("/v1/reject", { revision, operator });
                return answer.map(body => ({ json: body, text: `revision ${revision} is rejected\n` }));
            },
        }),
};
