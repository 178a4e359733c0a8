import { isJsonObject, parseText, problem, ProblemCode, type Problem } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { IncomingMessage } from "node:http";
import { maxDiscardedBytes } from "./constants.js";

/** Reads a body up to a limit, in bytes. */
export async function readBody(request: IncomingMessage, limit: number): Promise<Either<Problem, string>> {
    if (Number(request.headers["content-length"] ?? 0) > limit + maxDiscardedBytes) {
        return Left(tooLarge(limit));
    }
    const chunks: Buffer[] = [];
    let size = 0;
    // Leaving the loop early must not destroy the connection before the refusal is sent.
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > limit + maxDiscardedBytes) {
            break;
        }
        if (size <= limit) {
            chunks.push(chunk);
        }
    }
    return size > limit ? Left(tooLarge(limit)) : Right(Buffer.concat(chunks).toString("utf8"));
}

/** Reads a JSON object up to a limit, in bytes. */
export async function readGroup(
    request: IncomingMessage,
    limit: number,
): Promise<Either<Problem, Record<string, unknown>>> {
    const body = await readBody(request, limit);
    return body.chain(text =>
        parseText(text)
            .mapLeft(mistakes => mistakes[0] as Problem)
            .chain(value => (isJsonObject(value) ? Right(value) : Left(notAGroup()))),
    );
}

function tooLarge(limit: number): Problem {
    return problem(ProblemCode.TooLarge, `the body is larger than ${limit} bytes`, {
        where: "body",
        nextStep: "send less at a time",
    });
}

function notAGroup(): Problem {
    return problem(ProblemCode.Unreadable, "the body is not a JSON object", {
        where: "body",
        nextStep: "send a JSON object",
    });
}
