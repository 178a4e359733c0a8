import { ProblemCode, type Problem } from "@tanagertray/core";
import type { ServerResponse } from "node:http";

const statusByProblemCode = {
    [ProblemCode.InvalidSetting]: 422,
    [ProblemCode.InvalidAnswer]: 422,
    [ProblemCode.Unreadable]: 400,
    [ProblemCode.PlatformUnreachable]: 503,
    [ProblemCode.OutcomeUnknown]: 504,
    [ProblemCode.Conflict]: 409,
    [ProblemCode.NotFound]: 404,
    [ProblemCode.AlreadyDecided]: 409,
    [ProblemCode.HashMismatch]: 502,
    [ProblemCode.DanglingReference]: 422,
    [ProblemCode.WrongBase]: 409,
    [ProblemCode.OlderVersion]: 409,
    [ProblemCode.MalformedMessage]: 400,
    [ProblemCode.Unauthorized]: 401,
    [ProblemCode.Overloaded]: 429,
    [ProblemCode.TooLarge]: 413,
} as const satisfies Partial<Record<ProblemCode, number>>;

/** HTTP status for problem codes without an entry in the table. */
const defaultProblemStatus = 400;

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    sendText(response, status, "application/json", JSON.stringify(body));
}

export function sendText(response: ServerResponse, status: number, type: string, text: string): void {
    response.writeHead(status, { "content-type": type, "cache-control": "no-store" });
    response.end(text);
}

/** Sends a problem details document (RFC 9457). */
export function sendProblem(
    response: ServerResponse,
    reason: Problem,
    details: { status?: number; mistakes?: readonly Problem[] } = {},
): void {
    const statuses: Readonly<Partial<Record<ProblemCode, number>>> = statusByProblemCode;
    const status = details.status ?? statuses[reason.code] ?? defaultProblemStatus;
    const document = { type: "about:blank", title: reason.code, status, detail: reason.message, ...reason };
    const mistakes = details.mistakes === undefined ? {} : { mistakes: details.mistakes };
    const text = JSON.stringify({ ...document, ...mistakes });
    if (status === 413 || status === 401) {
        response.setHeader("connection", "close");
    }
    if (status === 401) {
        response.setHeader("www-authenticate", "Bearer");
    }
    sendText(response, status, "application/problem+json", text);
}
