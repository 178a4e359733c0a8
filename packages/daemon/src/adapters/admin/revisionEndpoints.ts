import {
    checkAnswers,
    isJsonObject,
    problem,
    ProblemCode,
    readAnswers,
    type Problem,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { RevisionCommandKind } from "../../board.js";
import { readBody, readJsonObject } from "./body.js";
import type { CommandRunner } from "./commandRunner.js";
import { maxBodyBytes, maxOperatorNameLength, maxSmallBodyBytes } from "./constants.js";
import { Access, type EndpointTable, type Exchange } from "./endpoint.js";
import { sendProblem } from "./responses.js";

/** Recorded when a request does not name its operator. */
const unknownOperator = "unknown";

/** Endpoints that list, submit, compare, accept and reject revisions. */
export function revisionEndpoints(commands: CommandRunner): EndpointTable {
    async function runDecision(exchange: Exchange, kind: RevisionCommandKind): Promise<void> {
        const body = await readJsonObject(exchange.request, maxSmallBodyBytes);
        const parsedCommand = body.chain(({ revision, operator }) =>
            parseRevisionNumber(revision).map(number => ({
                kind,
                revision: number,
                operator: sanitizeOperatorName(operator),
            })),
        );
        return parsedCommand.caseOf<Promise<void> | void>({
            Left: reason => sendProblem(exchange.response, reason),
            Right: command => commands.run(exchange, command),
        });
    }

    async function submit(exchange: Exchange): Promise<void> {
        const body = await readBody(exchange.request, maxBodyBytes);
        await body.caseOf<Promise<void> | void>({
            Left: reason => sendProblem(exchange.response, reason),
            Right: text => submitText(exchange, text),
        });
    }

    async function submitText(exchange: Exchange, text: string): Promise<void> {
        const { operator, answers } = readSubmission(exchange, text);
        await answers.caseOf<Promise<void> | void>({
            Left: mistakes => sendProblem(exchange.response, summarizeMistakes(mistakes), { mistakes }),
            Right: checked =>
                commands.run(exchange, { kind: RevisionCommandKind.Submit, operator, answers: checked }),
        });
    }

    return {
        "GET /v1/revisions": {
            access: Access.Operator,
            handle: exchange =>
                commands.run(exchange, { kind: RevisionCommandKind.List, operator: unknownOperator }),
        },
        "POST /v1/revisions": { access: Access.Operator, handle: submit },
        "GET /v1/diff": {
            access: Access.Operator,
            handle: exchange =>
                parseRevisionNumber(
                    Number(exchange.url.searchParams.get("revision")),
                ).caseOf<Promise<void> | void>({
                    Left: reason => sendProblem(exchange.response, reason),
                    Right: revision =>
                        commands.run(exchange, {
                            kind: RevisionCommandKind.Diff,
                            operator: unknownOperator,
                            revision,
                        }),
                }),
        },
        "POST /v1/accept": {
            access: Access.Operator,
            handle: exchange => runDecision(exchange, RevisionCommandKind.Accept),
        },
        "POST /v1/reject": {
            access: Access.Operator,
            handle: exchange => runDecision(exchange, RevisionCommandKind.Reject),
        },
    };
}

/**
 * Reads submitted answers. The body is either the raw text of the answers, with the operator in a header, or a
 * JSON object with the answers and the operator.
 */
function readSubmission({ request }: Exchange, text: string) {
    const type = request.headers["content-type"] ?? "";
    const raw = type.startsWith("text/") || type.startsWith("application/jsonc");
    if (raw) {
        return {
            operator: sanitizeOperatorName(request.headers["tanagertray-operator"]),
            answers: readAnswers(text),
        };
    }
    let body: unknown;
    try {
        body = JSON.parse(text);
    } catch {
        return { operator: unknownOperator, answers: readAnswers(text) };
    }
    const { answers, operator } = isJsonObject(body) ? body : {};
    const checked = typeof answers === "string" ? readAnswers(answers) : checkAnswers(answers);
    return { operator: sanitizeOperatorName(operator), answers: checked };
}

function summarizeMistakes(mistakes: readonly Problem[]): Problem {
    const [first] = mistakes;
    return problem(
        first?.code ?? ProblemCode.InvalidAnswer,
        `the answers have ${mistakes.length} ${mistakes.length === 1 ? "mistake" : "mistakes"}`,
        {
            where: "answers",
            nextStep: "correct them and run `tanagertray answers check`",
        },
    );
}

function parseRevisionNumber(value: unknown): Either<Problem, number> {
    if (typeof value === "number" && Number.isSafeInteger(value) && value > 0) {
        return Right(value);
    }
    const message = "the revision is not a positive integer";
    const nextStep = "run `tanagertray revisions` to list the revision numbers";
    return Left(problem(ProblemCode.Unreadable, message, { where: "revision", nextStep }));
}

export function sanitizeOperatorName(value: unknown): string {
    const name = typeof value === "string" ? value.replace(/[^\x20-\x7e]/g, "").trim() : "";
    return name === "" ? unknownOperator : name.slice(0, maxOperatorNameLength);
}
