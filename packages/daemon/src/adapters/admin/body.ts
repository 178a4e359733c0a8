import { isJsonObject, parseText, problem, ProblemCode, type Problem } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import type { IncomingMessage } from "node:http";
import { maxDiscardedBytes } from "./constants.js";

/** Reads a request body as text; fails if it is larger than `maxBytes`. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Either<Problem, string>> {
    if (Number(request.headers["content-length"] ?? 0) > maxBytes + maxDiscardedBytes) {
        return Left(tooLarge(maxBytes));
    }
    const chunks: Buffer[] = [];
    let size = 0;
    // By default, leaving the loop early destroys the connection before the 413 response is sent.
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > maxBytes + maxDiscardedBytes) {
            break;
        }
        if (size <= maxBytes) {
            chunks.push(chunk);
        }
    }
    return size > maxBytes ? Left(tooLarge(maxBytes)) : Right(Buffer.concat(chunks).toString("utf8"));
}

/** Reads a request body as a JSON object; fails if it is larger than `maxBytes`. */
export async function readJsonObject(
    request: IncomingMessage,
    maxBytes: number,
): Promise<Either<Problem, Record<string, unknown>>> {
    const body = await readBody(request, maxBytes);
    return body.chain(text =>
        parseText(text)
            .mapLeft(mistakes => mistakes[0] as Problem)
            .chain(value => (isJsonObject(value) ? Right(value) : Left(notAnObject()))),
    );
}

function tooLarge(maxBytes: number): Problem {
    return problem(ProblemCode.TooLarge, `the body is larger than ${maxBytes} bytes`, {
        where: "body",
        nextStep: "send a smaller body",
    });
}

function notAnObject(): Problem {
    return problem(ProblemCode.Unreadable, "the body is not a JSON object", {
        where: "body",
        nextStep: "send a JSON object",
    });
}
