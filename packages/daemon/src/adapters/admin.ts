import { ProblemCode, type Announcement, type Problem } from "@tanagertray/core";
import { randomUUID, timingSafeEqual, createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { ReadinessState } from "@tanagertray/core";
import { RevisionCommandKind, type Board, type RevisionCommand, type RevisionReply } from "../board.js";
import type { Closeable } from "../closeable.js";
import { closeListener, openListener } from "./httpListener.js";

/** Largest body of an operator's request, in bytes. */
const maxBodyBytes = 4_194_304;
/** Time for a command to finish, in milliseconds. */
const commandDeadlineMs = 60_000;

interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
}

type Handler = (exchange: Exchange) => Promise<void> | void;

/** Serves operators, backend servers and monitoring. */
export async function createAdmin(board: Board): Promise<Closeable> {
    const announcements = board.claimFeed("announcements");
    const commands = board.claimFeed("revisionCommands");
    const waiting = new Map<string, (reply: RevisionReply) => void>();
    const { keys } = board.read("settings");

    const handlers: Readonly<Record<string, Handler>> = {
        "GET /healthz": ({ response }) => send(response, 200, { status: "ok" }),
        "GET /readyz": ({ response }) => {
            const readiness = board.read("readiness");
            send(response, readiness.state === ReadinessState.Ready ? 200 : 503, readiness);
        },
        "POST /v1/backend-servers": withToken(keys.backendServer, async ({ request, response }) => {
            announcements.append((await readJson(request)) as Announcement);
            send(response, 202, {});
        }),
        "GET /v1/status": withToken(keys.operator, ({ response }) =>
            send(response, 200, describeStatus(board)),
        ),
        "GET /v1/revisions": withToken(keys.operator, exchange =>
            runCommand(exchange, RevisionCommandKind.List),
        ),
        "POST /v1/revisions": withToken(keys.operator, exchange =>
            runCommand(exchange, RevisionCommandKind.Submit),
        ),
        "POST /v1/accept": withToken(keys.operator, exchange =>
            runCommand(exchange, RevisionCommandKind.Accept),
        ),
        "POST /v1/reject": withToken(keys.operator, exchange =>
            runCommand(exchange, RevisionCommandKind.Reject),
        ),
    };

    async function runCommand({ request, response }: Exchange, kind: RevisionCommandKind): Promise<void> {
        const body = request.method === "POST" ? ((await readJson(request)) as Partial<RevisionCommand>) : {};
        const command = { operator: "unknown", ...body, id: randomUUID(), kind };
        const reply = await new Promise<RevisionReply | undefined>(resolve => {
            waiting.set(command.id, resolve);
            setTimeout(() => resolve(undefined), commandDeadlineMs).unref();
            commands.append(command);
        });
        waiting.delete(command.id);
        if (reply === undefined) {
            return send(response, 504, { code: ProblemCode.OutcomeUnknown });
        }
        reply.outcome.caseOf({
            Left: reason => send(response, statusOf(reason), reason),
            Right: result => send(response, 200, result),
        });
    }

    const subscription = board.follow("revisionReplies", reply => waiting.get(reply.id)?.(reply));
    const server = await openListener(board.read("settings").listen.admin, (request, response) => {
        const url = new URL(request.url ?? "/", "http://admin");
        const handler = handlers[`${request.method} ${url.pathname}`];
        if (handler === undefined) {
            return send(response, 404, {
                code: ProblemCode.NotFound,
                message: `no such path: ${url.pathname}`,
            });
        }
        Promise.resolve(handler({ request, response, url })).catch(error => {
            send(response, 400, { code: ProblemCode.Unreadable, message: String(error) });
        });
    });
    return {
        async close() {
            subscription.close();
            await closeListener(server);
        },
    };
}

function withToken(tokens: readonly string[], handler: Handler): Handler {
    return exchange => {
        const header = exchange.request.headers.authorization ?? "";
        const presented = header.startsWith("Bearer ") ? header.slice("Bearer ".length) : "";
        if (!tokens.some(token => equalSecrets(token, presented))) {
            return send(exchange.response, 401, {
                code: ProblemCode.Unauthorized,
                message: "unknown bearer token",
            });
        }
        return handler(exchange);
    };
}

/** Compares in a time that does not depend on the content. */
function equalSecrets(a: string, b: string): boolean {
    const digest = (text: string) => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(a), digest(b));
}

function describeStatus(board: Board) {
    const { held, rejected } = board.read("configuration");
    const settings = board.read("settings");
    return {
        host: settings.host,
        failureDomain: settings.failureDomain,
        version: held?.manifest.version ?? 0,
        rejected,
        readiness: board.read("readiness"),
        platform: board.read("platformState"),
        hosts: [...board.read("membership").records.values()],
    };
}

const statusByProblem: Readonly<Partial<Record<ProblemCode, number>>> = {
    [ProblemCode.Conflict]: 409,
    [ProblemCode.AlreadyDecided]: 409,
    [ProblemCode.NotFound]: 404,
    [ProblemCode.InvalidAnswer]: 422,
    [ProblemCode.PlatformUnreachable]: 503,
    [ProblemCode.OutcomeUnknown]: 504,
    [ProblemCode.Overloaded]: 429,
};

function statusOf(reason: Problem): number {
    return statusByProblem[reason.code] ?? 400;
}

function send(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}

async function readJson(request: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > maxBodyBytes) {
            throw new Error(`the body is larger than ${maxBodyBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}
