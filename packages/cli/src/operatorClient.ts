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
    /** Sends text unchanged, with the operator's name in a header. */
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
            return Left(unreachableFailure(admin, method, error));
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
        const details = {
            where: admin,
            nextStep: "check that --admin is the address of a daemon's admin listener",
        };
        const message = `the response with status ${status} is not JSON`;
        return Left({
            exitCode: ExitCode.Unreachable,
            problem: problem(ProblemCode.Unreadable, message, details),
        });
    }
    return status >= 200 && status < 300 ? Right(body) : Left(readFailure(status, body));
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}

const exitCodeByProblemCode: Readonly<Partial<Record<string, ExitCode>>> = {
    [ProblemCode.PlatformUnreachable]: ExitCode.Unreachable,
    [ProblemCode.OutcomeUnknown]: ExitCode.Unreachable,
};

function readFailure(status: number, body: unknown): Failure {
    const document: Record<string, unknown> = isJsonObject(body) ? body : {};
    const readString = (key: string) => (typeof document[key] === "string" ? document[key] : undefined);
    const code = (readString("code") ?? ProblemCode.Unreadable) as ProblemCode;
    const where = readString("where");
    const nextStep = readString("nextStep");
    const reason = problem(code, readString("message") ?? `the daemon responded with status ${status}`, {
        ...(where === undefined ? {} : { where }),
        ...(nextStep === undefined ? {} : { nextStep }),
    });
    const failure = { exitCode: exitCodeByProblemCode[code] ?? ExitCode.Refused, problem: reason };
    const mistakes = document["mistakes"];
    return Array.isArray(mistakes) ? { ...failure, mistakes: mistakes as Problem[] } : failure;
}

const nextStepByMethod = {
    GET: "check --admin, or use the admin address of another host",
    POST: "check --admin; if the daemon may have received the request, run `tanagertray revisions` before trying again",
} as const;

function unreachableFailure(admin: string, method: "GET" | "POST", error: unknown): Failure {
    const code = (error as { code?: string }).code ?? String(error);
    const details = { where: admin, nextStep: nextStepByMethod[method] };
    return {
        exitCode: ExitCode.Unreachable,
        problem: problem(ProblemCode.DaemonUnreachable, `the daemon did not respond: ${code}`, details),
    };
}
