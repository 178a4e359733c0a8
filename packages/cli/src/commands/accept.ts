import { ProblemCode, type AcceptedChange, type Head } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { OptionKind, type Command, type Context, type Failure, type Outcome } from "../command.js";
import { defaultWaitSeconds } from "../constants.js";
import { usageFailure } from "../failures.js";
import { readRevisionNumber } from "../revisionArgument.js";
import { formatTable, formatTime } from "../table.js";
import { waitForVersion } from "../waitForVersion.js";

export const accept: Command = {
    arguments: "<revision>",
    describe: "Accept the revision that you reviewed",
    example: "accept 12 --wait",
    options: [
        { name: "wait", kind: OptionKind.Flag, describe: "Wait until all known hosts hold the version" },
        {
            name: "timeout",
            kind: OptionKind.Text,
            describe: "Longest wait in seconds",
            default: String(defaultWaitSeconds),
        },
    ],
    async run([argument], context) {
        const request = readRevisionNumber(argument).chain(revision =>
            readTimeout(context).map(timeoutMs => ({ revision, timeoutMs })),
        );
        return request.caseOf<Promise<Outcome> | Outcome>({
            Left: failure => Left(failure),
            Right: ({ revision, timeoutMs }) => acceptRevision(context, revision, timeoutMs),
        });
    },
};

function readTimeout({ options }: Context): Either<Failure, number> {
    const seconds = Number(options["timeout"]);
    return seconds > 0 && Number.isFinite(seconds)
        ? Right(seconds * 1_000)
        : Left(
              usageFailure(
                  `--timeout ${options["timeout"]} is not a number of seconds`,
                  "for example --timeout 30",
              ),
          );
}

async function acceptRevision(context: Context, revision: number, timeoutMs: number): Promise<Outcome> {
    const answer = await context.client.post("/v1/accept", { revision, operator: context.operator });
    return answer.caseOf<Promise<Outcome>>({
        Left: async failure => Left(await addRival(context, failure)),
        Right: body => describeAcceptance(context, body as Head, timeoutMs),
    });
}

async function describeAcceptance(context: Context, head: Head, timeoutMs: number): Promise<Outcome> {
    const text = `version ${head.version} is accepted (revision ${head.revision}, by ${head.operator})\n`;
    if (context.options["wait"] !== true) {
        return Right({ json: head, text });
    }
    const spread = await waitForVersion(context, head.version, timeoutMs);
    return spread.map(found => ({
        json: { ...head, ...found },
        text: `${text}${found.holding} of ${found.hosts} hosts hold it\n`,
    }));
}

/** Shows the change that won when the revision lost a race. */
async function addRival(context: Context, failure: Failure): Promise<Failure> {
    if (failure.problem.code !== ProblemCode.Conflict) {
        return failure;
    }
    const status = await context.client.get("/v1/status");
    const head = status
        .map(body => (body as { platform: { head?: Head } }).platform.head)
        .orDefault(undefined);
    if (head === undefined) {
        return failure;
    }
    const describe = (change: AcceptedChange) => [
        change.version,
        change.revision,
        change.operator,
        formatTime(change.acceptedAt),
    ];
    return {
        ...failure,
        text: formatTable(["version", "revision", "operator", "accepted"], [describe(head)]),
    };
}
