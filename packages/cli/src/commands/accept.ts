import { ProblemCode, type AcceptedChange, type Head } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { OptionKind, type Command, type CommandContext, type Failure, type Outcome } from "../command.js";
import { defaultWaitSeconds } from "../constants.js";
import { usageFailure } from "../failures.js";
import { parseRevisionNumber } from "../parseRevisionNumber.js";
import { formatTable, formatTime } from "../table.js";
import { waitForVersion } from "../waitForVersion.js";

export const accept: Command = {
    arguments: "<revision>",
    description: "Accept a revision, so that all hosts apply it",
    example: "accept 12 --wait",
    options: [
        {
            name: "wait",
            kind: OptionKind.Flag,
            description: "Wait until all known hosts that have not failed or left hold the version",
        },
        {
            name: "timeout",
            kind: OptionKind.Text,
            description: "Maximum time to wait, in seconds",
            default: String(defaultWaitSeconds),
        },
    ],
    async run([argument], context) {
        const request = parseRevisionNumber(argument).chain(revision =>
            readTimeout(context).map(timeoutMs => ({ revision, timeoutMs })),
        );
        return request.caseOf<Promise<Outcome> | Outcome>({
            Left: failure => Left(failure),
            Right: ({ revision, timeoutMs }) => acceptRevision(context, revision, timeoutMs),
        });
    },
};

function readTimeout({ options }: CommandContext): Either<Failure, number> {
    const seconds = Number(options["timeout"]);
    return seconds > 0 && Number.isFinite(seconds)
        ? Right(seconds * 1_000)
        : Left(
              usageFailure(
                  `--timeout ${options["timeout"]} is not a number of seconds`,
                  "use for example --timeout 30",
              ),
          );
}

async function acceptRevision(
    context: CommandContext,
    revision: number,
    timeoutMs: number,
): Promise<Outcome> {
    const response = await context.client.post("/v1/accept", { revision, operator: context.operator });
    return response.caseOf<Promise<Outcome>>({
        Left: async failure => Left(await addWinningChange(context, failure)),
        Right: body => reportAcceptance(context, body as Head, timeoutMs),
    });
}

async function reportAcceptance(context: CommandContext, head: Head, timeoutMs: number): Promise<Outcome> {
    const text = `version ${head.version} is accepted (revision ${head.revision}, by ${head.operator})\n`;
    if (context.options["wait"] !== true) {
        return Right({ json: head, text });
    }
    const rollout = await waitForVersion(context, head.version, timeoutMs);
    return rollout.map(rolloutStatus => ({
        json: { ...head, ...rolloutStatus },
        text: `${text}${rolloutStatus.holding} of ${rolloutStatus.hosts} hosts hold it\n`,
    }));
}

/** Adds the accepted change to a conflict, so that the operator sees what was accepted instead. */
async function addWinningChange(context: CommandContext, failure: Failure): Promise<Failure> {
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
    const describeChange = (change: AcceptedChange) => [
        change.version,
        change.revision,
        change.operator,
        formatTime(change.acceptedAt),
    ];
    return {
        ...failure,
        text: formatTable(["version", "revision", "operator", "accepted"], [describeChange(head)]),
    };
}
