import { ReadinessState, resourceName, ResourceKind, type Route } from "@tanagertray/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { closeListener, openListener } from "./httpListener.js";

/** Accepts callers' requests and passes each to a backend server of this host. */
export async function createCalls(board: Board): Promise<Closeable> {
    const pools = new Map<string, Pool>();
    const server = await openListener(board.read("settings").listen.calls, (request, response) => {
        void carry(request, response);
    });

    async function carry(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const [, service = "", ...rest] = (request.url ?? "").split("/");
        const route = findRoute(service);
        const backendServer = [...board.read("backendServers").values()].find(
            entry => entry.service === service,
        );
        if (
            board.read("readiness").state !== ReadinessState.Ready ||
            route === undefined ||
            backendServer === undefined
        ) {
            return refuse(response);
        }
        await forward(backendServer.address, `/${rest.join("/")}`, request, response);
    }

    function findRoute(service: string): Route | undefined {
        const name = resourceName(ResourceKind.Route, service);
        return board.read("configuration").held?.resources.get(name) as Route | undefined;
    }

    async function forward(
        address: string,
        path: string,
        request: IncomingMessage,
        response: ServerResponse,
    ) {
        const pool = pools.get(address) ?? new Pool(`http://${address}`);
        pools.set(address, pool);
        try {
            const answer = await pool.request({ method: request.method as "GET", path, body: request });
            response.writeHead(answer.statusCode);
            await pipeline(answer.body, response);
        } catch {
            response.destroy();
        }
    }

    return {
        async close() {
            await closeListener(server);
            await Promise.all([...pools.values()].map(pool => pool.close()));
        },
    };
}

function refuse(response: ServerResponse): void {
    response.writeHead(503, { "tanagertray-outcome": "not-run", "content-type": "application/problem+json" });
    response.end(JSON.stringify({ title: "not run", status: 503 }));
}
