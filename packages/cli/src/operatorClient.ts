import { isJsonObject, problem, ProblemCode, type Problem } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { request } from "undici";
import { ExitCode, type Failure } from "./command.js";
import { requestTimeoutMs } from "./constants.js";

export interface OperatorClientOptions {
    /** Base URL of the admin listener of any daemon. */
    admin: string;
    token: string;
}

export interface OperatorClient {
    get(path: string): Promise<Either<Failure, unknown>>;
    post(path: string, body: unknown): Promise<Either<Failure, unknown>>;
    /** Sends a text as it is, with the operator's name in a header. */
    postText(path: string, text: string, operator: string): Promise<Either<Failure, unknown>>;
}

/**
 * Creates a client of a daemon's admin listener.
 *
 * @example
 * ```ts
 * const client = createOperatorClient({ admin: "http://127.0.0.1:8082", token });
 * const status = await client.get("/v1/status");
 * ```
 */
export function createOperatorClient({ admin, token }: OperatorClientOptions): OperatorClient {
    async function send(
        method: "GET" | "POST",
        path: string,
        content: { body?: string; headers?: Record<string, string> } = {},
    ): Promise<Either<Failure, unknown>> {
        try {
            const response = await request(new URL(path, admin), {
                method,
                headers: { authorization: `Bearer ${token}`, ...content.headers },
                ...(content.body === undefined ? {} : { body: content.body }),
                headersTimeout: requestTimeoutMs,
                bodyTimeout: requestTimeoutMs,
            });
            return readResponse(response.statusCode, await response.body.text(), admin);
        } catch (error) {
            return Left(unreachable(admin, method, error));
        }
    }

    return {
        get: path => send("GET", path),
        post: (path, body) =>
            send("POST", path, {
                body: JSON.stringify(body),
                headers: { "content-type": "application/json" },
            }),
        postText: (path, text, operator) =>
            send("POST", path, {
                body: text,
                headers: { "content-type": "application/jsonc", "tanagertray-operator": operator },
            }),
    };
}

function readResponse(status: number, text: string, admin: string): Either<Failure, unknown> {
    const body = parseJson(text);
    if (body === undefined) {
        const details = { where: admin, nextStep: "check that --admin names the admin listener of a daemon" };
        const message = `the response with status ${status} is not JSON`;
        return Left({
            exitCode: ExitCode.Unreachable,
            problem: problem(ProblemCode.Unreadable, message, details),
        });
    }
    return status >= 200 && status < 300 ? Right(body) : Left(readProblem(status, body));
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}

const exitCodes: Readonly<Partial<Record<string, ExitCode>>> = {
    [ProblemCode.PlatformUnreachable]: ExitCode.Unreachable,
    [ProblemCode.OutcomeUnknown]: ExitCode.Unreachable,
};

function readProblem(status: number, body: unknown): Failure {
    const document: Record<string, unknown> = isJsonObject(body) ? body : {};
    const read = (key: string) => (typeof document[key] === "string" ? document[key] : undefined);
    const code = (read("code") ?? ProblemCode.Unreadable) as ProblemCode;
    const where = read("where");
    const nextStep = read("nextStep");
    const reason = problem(code, read("message") ?? `the daemon refused with status ${status}`, {
        ...(where === undefined ? {} : { where }),
        ...(nextStep === undefined ? {} : { nextStep }),
    });
    const failure = { exitCode: exitCodes[code] ?? ExitCode.Refused, problem: reason };
    const mistakes = document["mistakes"];
    return Array.isArray(mistakes) ? { ...failure, mistakes: mistakes as Problem[] } : failure;
}

const unreachableSteps = {
    GET: "check --admin, or name the admin address of another host",
    POST: "check --admin; if the daemon ran before, run `tanagertray revisions` before trying again",
} as const;

function unreachable(admin: string, method: "GET" | "POST", error: unknown): Failure {
    const code = (error as { code?: string }).code ?? String(error);
    const details = { where: admin, nextStep: unreachableSteps[method] };
    return {
        exitCode: ExitCode.Unreachable,
        problem: problem(ProblemCode.DaemonUnreachable, `the daemon did not answer: ${code}`, details),
    };
}
