import { EventLevel, problem, ProblemCode } from "@tanagertray/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { closeListener, openListener } from "../httpListener.js";
import { isAuthorized } from "./authorization.js";
import { backendServerEndpoints } from "./backendServerEndpoints.js";
import { createCommandRunner } from "./commandRunner.js";
import { maxAdminConnections, maxConcurrentRequests, requestTimeoutMs } from "./constants.js";
import { createCounters } from "./counters.js";
import { Access, type EndpointTable, type Exchange } from "./endpoint.js";
import { metricsEndpoints } from "./metrics.js";
import { sendProblem } from "./responses.js";
import { revisionEndpoints } from "./revisionEndpoints.js";
import { statusEndpoints } from "./statusEndpoints.js";

export interface AdminListenerOptions {
    /**
     * Whether backend servers may announce themselves on this listener.
     * @default true
     */
    readonly acceptsAnnouncements?: boolean;
}

/** Starts the HTTP listener for operators, backend servers and monitoring. */
export async function createAdminListener(
    board: Board,
    { acceptsAnnouncements = true }: AdminListenerOptions = {},
): Promise<Closeable> {
    const { keys, listen } = board.read("settings");
    const events = board.claimFeed("operatorEvents");
    const commands = createCommandRunner(board, event => events.append(event));
    const counters = createCounters(board);
    const endpoints: EndpointTable = {
        ...statusEndpoints(board),
        ...metricsEndpoints({ board, counters }),
        ...revisionEndpoints(commands),
        ...(acceptsAnnouncements ? backendServerEndpoints(board) : {}),
    };
    let activeRequests = 0;

    async function serve(exchange: Exchange): Promise<void> {
        const { request, response, url } = exchange;
        const endpointName = `${request.method} ${url.pathname}`;
        const endpoint = Object.hasOwn(endpoints, endpointName) ? endpoints[endpointName] : undefined;
        if (endpoint === undefined) {
            return rejectUnmatchedRequest(exchange, endpoints);
        }
        if (!isAuthorized(endpoint.access, request, keys)) {
            reportEvent(EventLevel.Warn, "operator.unauthorized", { request: endpointName });
            const nextStep = "send a token from the daemon's settings as `authorization: Bearer TOKEN`";
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
        if (activeRequests >= maxConcurrentRequests) {
            reportEvent(EventLevel.Warn, "operator.overloaded", { request: endpointName });
            const message = `${maxConcurrentRequests} requests are already in progress`;
            return sendProblem(response, problem(ProblemCode.Overloaded, message, { nextStep: "try again" }));
        }
        activeRequests += 1;
        try {
            await endpoint.handle(exchange);
            const level = endpoint.access === Access.Operator ? EventLevel.Info : EventLevel.Debug;
            reportEvent(level, "operator.request", { request: endpointName, status: response.statusCode });
        } finally {
            activeRequests -= 1;
        }
    }

    function reportEvent(level: EventLevel, name: string, fields: Record<string, string | number>): void {
        events.append({ name, level, fields });
    }

    function handle(request: IncomingMessage, response: ServerResponse): void {
        const target = request.url ?? "/";
        const url = URL.canParse(target, "http://admin") ? new URL(target, "http://admin") : undefined;
        if (url === undefined) {
            return sendProblem(response, problem(ProblemCode.Unreadable, "the request target is not a path"));
        }
        serve({ request, response, url }).catch((error: unknown) => {
            reportEvent(EventLevel.Error, "operator.requestFailed", {
                request: url.pathname,
                error: String(error),
            });
            if (response.headersSent || response.destroyed) {
                response.destroy();
                return;
            }
            const message = "the request failed with an internal error";
            const nextStep = "search the daemon's log for operator.requestFailed";
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

function rejectUnmatchedRequest({ request, response, url }: Exchange, endpoints: EndpointTable): void {
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
    const message = `path not found: ${url.pathname.slice(0, 80)}`;
    sendProblem(response, problem(ProblemCode.NotFound, message, { nextStep: "see docs/OPERATIONS.md" }));
}
