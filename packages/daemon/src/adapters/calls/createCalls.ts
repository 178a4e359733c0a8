import { callerLimits } from "@tanagertray/core";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Board } from "../../board.js";
import type { Closeable } from "../../closeable.js";
import { drainLimitMs, idleGraceMs } from "../../draining.js";
import { steadyNow } from "../../steadyClock.js";
import { closeListener, openListener } from "../httpListener.js";
import { createAdmissions } from "./admissions.js";
import { createArrivals } from "./arrivals.js";
import { createBodyTransfers } from "./bodyTransfers.js";
import { redirectLimits } from "./constants.js";
import type { CallContext } from "./context.js";
import type { CallDialect } from "./dialect.js";
import { createEntryContacts } from "./entryContacts.js";
import { createFates } from "./fates.js";
import { shutdownLimitReached } from "./incoming.js";
import { handleEntry } from "./handleEntry.js";
import { handleHop } from "./handleHop.js";
import { createObservations } from "./observations.js";
import { nativeDialect } from "./nativeDialect.js";
import { createPools } from "./pools.js";
import { createRetryBudgets } from "./retryBudgets.js";
import { resetConnection } from "./responses.js";
import { createTelemetry } from "./telemetry.js";
import { createTimers } from "./timers.js";

export interface CallsOptions {
    /**
     * Milliseconds since the epoch.
     * @default steadyNow
     */
    now?: () => number;
    /**
     * Uniform in [0, 1).
     * @default Math.random
     */
    random?: () => number;
    /**
     * Headers, routes and statuses used with callers and backend servers.
     * @default nativeDialect
     */
    dialect?: CallDialect;
}

export interface Calls extends Closeable {
    /** Handles calls that arrive from other daemons. */
    readonly handleHop: RequestListener;
    /** Must be called for each accepted connection on which other daemons send calls. */
    readonly noteConnection: (socket: Socket) => void;
    /** Port of the listener for callers. */
    readonly port: number;
    /** Closes the listener and waits for the calls in flight, up to the drain limit of the services. */
    close(): Promise<void>;
}

type Handler = (context: CallContext, request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Opens the listener for callers and forwards their calls to backend servers of this and other hosts. */
export async function createCalls(board: Board, options: CallsOptions = {}): Promise<Calls> {
    const { now = steadyNow, random = Math.random, dialect = nativeDialect } = options;
    const bodyTransfers = createBodyTransfers(board);
    const pools = createPools(now);
    const telemetry = createTelemetry(board, now);
    const timers = createTimers(board, now);
    const arrivals = createArrivals(board, { now });
    const entryContacts = createEntryContacts({ arrivals, board, now, pools, telemetry, timers });
    const context: CallContext = {
        board,
        now,
        random,
        pools,
        bodyTransfers,
        entryContacts,
        admissions: createAdmissions(board, {
            now,
            probe: entryContacts.probe,
            arrivingBodies: bodyTransfers.count,
        }),
        fates: createFates(board, now),
        observations: createObservations(board),
        telemetry,
        timers,
        arrivals,
        dialect,
        retryBudgets: createRetryBudgets(board.read("settings").retries),
        redirectBudgets: createRetryBudgets(redirectLimits),
        cancellations: new Set(),
    };
    const inFlight = new Set<Promise<void>>();

    function track(handler: Handler): RequestListener {
        return (request, response) => {
            request.on("error", () => undefined);
            response.on("error", () => undefined);
            const done = handler(context, request, response)
                .catch((error: unknown) => {
                    // Whether the call ran is unknown here, so the connection is reset instead of answering.
                    context.telemetry.event("call.failed", "error", { message: String(error) });
                    resetConnection(response);
                })
                .finally(() => inFlight.delete(done));
            inFlight.add(done);
        };
    }

    function closeStalePools(): void {
        const tiers = [...board.read("targets").values()].flatMap(targets => Object.values(targets));
        const hostAddresses = tiers.flat().map(target => target.address);
        const serverAddresses = [...board.read("backendServers").values()].map(({ address }) => address);
        context.pools.keepOnly(new Set([...hostAddresses, ...serverAddresses]));
    }

    const server = await openListener(board.read("settings").listen.calls, track(handleEntry));
    server.on("connection", (socket: Socket) => context.arrivals.noteConnection(socket, server));

    function applyCallerLimits(): void {
        const limits = callerLimits(board.read("configuration").held?.resources ?? new Map());
        if (limits !== undefined) {
            server.keepAliveTimeout = limits.idleTimeoutMs;
            server.headersTimeout = limits.headerTimeoutMs;
        }
    }

    const subscriptions = [
        board.observe(["configuration"], applyCallerLimits),
        board.observe(["clock"], () => context.pools.closeUnused()),
        board.observe(["targets", "backendServers"], closeStalePools),
    ];

    return {
        handleHop: track(handleHop),
        noteConnection: socket => context.arrivals.noteConnection(socket),
        port: (server.address() as { port: number }).port,
        async close() {
            const drainTimer = setTimeout(
                () => {
                    context.cancellations.forEach(cancellation => cancellation.cancel(shutdownLimitReached));
                    // The cancelled calls reset their connections first. A normal close would make a truncated
                    // response look complete.
                    setImmediate(() => server.closeAllConnections());
                },
                drainLimitMs(board) - board.read("settings").shutdown.lingerMs,
            );
            const closed = closeListener(server, { idleGraceMs: idleGraceMs(board) });
            while (inFlight.size > 0) {
                await Promise.all(inFlight);
            }
            await closed;
            clearTimeout(drainTimer);
            subscriptions.forEach(subscription => subscription.close());
            entryContacts.close();
            await context.pools.close();
            [
                context.admissions,
                context.fates,
                context.observations,
                context.timers,
                context.arrivals,
            ].forEach(part => part.close());
        },
    };
}
