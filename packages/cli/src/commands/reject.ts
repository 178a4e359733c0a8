import { Left } from "purify-ts/Either";
import type { Command, Outcome } from "../command.js";
import { parseRevisionNumber } from "../parseRevisionNumber.js";

export const reject: Command = {
    arguments: "<revision>",
    description: "Reject a revision, so that it cannot be accepted",
    example: "reject 12",
    run: async ([argument], { client, operator }) =>
        parseRevisionNumber(argument).caseOf<Promise<Outcome> | Outcome>({
            Left: failure => Left(failure),
            Right: async revision => {
                const response = await client.post("/v1/reject", { revision, operator });
                return response.map(body => ({ json: body, text: `revision ${revision} is rejected\n` }));
            },
        }),
};
