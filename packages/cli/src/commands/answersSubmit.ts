import type { Revision } from "@tanagertray/core";
import { Left } from "purify-ts/Either";
import type { Command, Outcome } from "../command.js";
import { readTextFile } from "../readTextFile.js";

export const answersSubmit: Command = {
    arguments: "<file>",
    description: "Submit answers and generate a revision from them",
    example: "answers submit answers.jsonc",
    run: async ([file = ""], { client, operator }) =>
        readTextFile(file).caseOf<Promise<Outcome> | Outcome>({
            Left: failure => Left(failure),
            Right: async text => {
                const response = await client.postText("/v1/revisions", text, operator);
                return response.map(body => {
                    const { number, baseVersion } = body as Revision;
                    const nextStep = `review it with \`tanagertray diff ${number}\`, then run \`tanagertray accept ${number}\``;
                    return {
                        json: body,
                        text: `revision ${number} was generated from version ${baseVersion}; ${nextStep}\n`,
                    };
                });
            },
        }),
};
