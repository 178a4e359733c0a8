import { EventLevel, problem, ProblemCode } from "@tanagertray/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { closeListener, openListener } from "../httpListener.js";
import { backendServerEndpoints } from "./backendServerEndpoints.js";
import { createCommandRunner } from "./commands.js";
import { maxAdminConnections, maxRequestsInProgress, requestTimeoutMs } from "./constants.js";
import { createCounters } from "./counters.js";
import { Access, type EndpointTable, type Exchange } from "./exchange.js";
import { metricsEndpoints } from "./metrics.js";
import { sendProblem } from "./responses.js";
import { revisionEndpoints } from "./revisionEndpoints.js";
import { statusEndpoints } from "./statusEndpoints.js";
import { mayAccess } from "./tokens.js";

export interface AdminOptions {
    /**
     * Whether backend servers announce themselves here.
     * @default true
     */
    readonly takesAnnouncements?: boolean;
}

/** Serves operators, backend servers and monitoring. */
export async function createAdmin(
    board: Board,
    { takesAnnouncements = true }: AdminOptions = {},
): Promise<Closeable> {
    const { keys, listen } = board.read("settings");
    const events = board.claimFeed("operatorEvents");
    const commands = createCommandRunner(board, event => events.append(event));
    const counters = createCounters(board);
    const endpoints: EndpointTable = {
        ...statusEndpoints(board),
        ...metricsEndpoints({ board, counters }),
        ...revisionEndpoints(commands),
        ...(takesAnnouncements ? backendServerEndpoints(board) : {}),
    };
    let inProgress = 0;

    async function serve(exchange: Exchange): Promise<void> {
        const { request, response, url } = exchange;
        const name = `${request.method} ${url.pathname}`;
        const endpoint = Object.hasOwn(endpoints, name) ? endpoints[name] : undefined;
        if (endpoint === undefined) {
            return refusePath(exchange, endpoints);
        }
        if (!mayAccess(endpoint.access, request, keys)) {
            report(EventLevel.Warn, "operator.unauthorized", { request: name });
            const nextStep = "send a token of the settings as `authorization: Bearer TOKEN`";
            const details = { where: "authorization", nextStep };
            const reason = problem(
                ProblemCode.Unauthorized,
                "the bearer token is missing or unknown",
                details,
            );
            return sendProblem(response, reason);
        }
        if (endpoint.access === Access.Anyone) {
            return endpoint.handle(exchange);
        }
        if (inProgress >= maxRequestsInProgress) {
            report(EventLevel.Warn, "operator.overloaded", { request: name });
            const message = `${maxRequestsInProgress} requests are in progress`;
            return sendProblem(response, problem(ProblemCode.Overloaded, message, { nextStep: "try again" }));
        }
        inProgress += 1;
        try {
            await endpoint.handle(exchange);
            const level = endpoint.access === Access.Operator ? EventLevel.Info : EventLevel.Debug;
            report(level, "operator.request", { request: name, status: response.statusCode });
        } finally {
            inProgress -= 1;
        }
    }

    function report(level: EventLevel, name: string, fields: Record<string, string | number>): void {
        events.append({ name, level, fields });
    }

    function handle(request: IncomingMessage, response: ServerResponse): void {
        const target = request.url ?? "/";
        const url = URL.canParse(target, "http://admin") ? new URL(target, "http://admin") : undefined;
        if (url === undefined) {
            return sendProblem(response, problem(ProblemCode.Unreadable, "the request target is not a path"));
        }
        serve({ request, response, url }).catch((error: unknown) => {
            report(EventLevel.Error, "operator.requestFailed", {
                request: url.pathname,
                error: String(error),
            });
            if (response.headersSent || response.destroyed) {
                response.destroy();
                return;
            }
            const message = "the request could not be carried out";
            const nextStep = "look for operator.requestFailed in the daemon's log";
            sendProblem(response, problem(ProblemCode.Unreadable, message, { nextStep }), { status: 500 });
        });
    }

    const server = await openListener(listen.admin, handle);
    server.requestTimeout = requestTimeoutMs;
    server.maxConnections = maxAdminConnections;
    return {
        async close() {
            await closeListener(server);
            commands.close();
            counters.close();
        },
    };
}

function refusePath({ request, response, url }: Exchange, endpoints: EndpointTable): void {
    const methods = Object.keys(endpoints)
        .map(name => name.split(" "))
        .filter(([, path]) => path === url.pathname)
        .map(([method]) => method as string);
    if (methods.length > 0) {
        response.setHeader("allow", methods.join(", "));
        const message = `${request.method} is not allowed for ${url.pathname}`;
        const nextStep = `use ${methods.join(" or ")}`;
        return sendProblem(response, problem(ProblemCode.NotFound, message, { nextStep }), { status: 405 });
    }
    const message = `there is no path ${url.pathname.slice(0, 80)}`;
    sendProblem(response, problem(ProblemCode.NotFound, message, { nextStep: "see docs/OPERATIONS.md" }));
}
