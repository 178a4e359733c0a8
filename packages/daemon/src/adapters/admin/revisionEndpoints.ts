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
import { readBody, readGroup } from "./body.js";
import type { CommandRunner } from "./commands.js";
import { maxBodyBytes, maxIdentityLength, maxShortBodyBytes } from "./constants.js";
import { Access, type EndpointTable, type Exchange } from "./exchange.js";
import { sendProblem } from "./responses.js";

/** Name for operators who did not give theirs. */
const unnamedOperator = "unknown";

/** Endpoints that list, submit, compare, accept and reject revisions. */
export function revisionEndpoints(commands: CommandRunner): EndpointTable {
    async function decide(exchange: Exchange, kind: RevisionCommandKind): Promise<void> {
        const body = await readGroup(exchange.request, maxShortBodyBytes);
        const command = body.chain(({ revision, operator }) =>
            revisionNumber(revision).map(number => ({
                kind,
                revision: number,
                operator: operatorName(operator),
            })),
        );
        return command.caseOf<Promise<void> | void>({
            Left: reason => sendProblem(exchange.response, reason),
            Right: found => commands.run(exchange, found),
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
            Left: mistakes => sendProblem(exchange.response, summarize(mistakes), { mistakes }),
            Right: checked =>
                commands.run(exchange, { kind: RevisionCommandKind.Submit, operator, answers: checked }),
        });
    }

    return {
        "GET /v1/revisions": {
            access: Access.Operator,
            handle: exchange =>
                commands.run(exchange, { kind: RevisionCommandKind.List, operator: unnamedOperator }),
        },
        "POST /v1/revisions": { access: Access.Operator, handle: submit },
        "GET /v1/diff": {
            access: Access.Operator,
            handle: exchange =>
                revisionNumber(
                    Number(exchange.url.searchParams.get("revision")),
                ).caseOf<Promise<void> | void>({
                    Left: reason => sendProblem(exchange.response, reason),
                    Right: revision =>
                        commands.run(exchange, {
                            kind: RevisionCommandKind.Diff,
                            operator: unnamedOperator,
                            revision,
                        }),
                }),
        },
        "POST /v1/accept": {
            access: Access.Operator,
            handle: exchange => decide(exchange, RevisionCommandKind.Accept),
        },
        "POST /v1/reject": {
            access: Access.Operator,
            handle: exchange => decide(exchange, RevisionCommandKind.Reject),
        },
    };
}

/** Answers arrive as their own text, or within a JSON object that also names the operator. */
function readSubmission({ request }: Exchange, text: string) {
    const type = request.headers["content-type"] ?? "";
    const raw = type.startsWith("text/") || type.startsWith("application/jsonc");
    if (raw) {
        return {
            operator: operatorName(request.headers["tanagertray-operator"]),
            answers: readAnswers(text),
        };
    }
    let body: unknown;
    try {
        body = JSON.parse(text);
    } catch {
        return { operator: unnamedOperator, answers: readAnswers(text) };
    }
    const { answers, operator } = isJsonObject(body) ? body : {};
    const checked = typeof answers === "string" ? readAnswers(answers) : checkAnswers(answers);
    return { operator: operatorName(operator), answers: checked };
}

function summarize(mistakes: readonly Problem[]): Problem {
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

function revisionNumber(value: unknown): Either<Problem, number> {
    if (typeof value === "number" && Number.isSafeInteger(value) && value > 0) {
        return Right(value);
    }
    const message = "the revision is not a whole number above 0";
    const nextStep = "take a number from `tanagertray revisions`";
    return Left(problem(ProblemCode.Unreadable, message, { where: "revision", nextStep }));
}

export function operatorName(value: unknown): string {
    const name = typeof value === "string" ? value.replace(/[^\x20-\x7e]/g, "").trim() : "";
    return name === "" ? unnamedOperator : name.slice(0, maxIdentityLength);
}
