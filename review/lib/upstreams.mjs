/** Stand-in for an upstream: announces itself as the protocol page says, and answers requests through a handler. */
import { once } from "node:events";
import { createServer, request as sendRequest } from "node:http";

const heartbeatMs = 1_500;

/** Sends one call to a control-plane address; resolves with the status, or 0 without an answer. */
export function callControlPlane(method, url, body) {
    return new Promise(resolve => {
        const call = sendRequest(url, {
            method,
            agent: false,
            headers: body === undefined ? {} : { "content-type": "application/json" },
            timeout: 1_000,
        });
        call.on("response", response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(0));
        call.end(body);
    });
}

async function readBody(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/**
 * Starts an upstream.
 *
 * @param options - `id`, `service`, `zone`, `port`, `controlPlane`, `onRun(run, request, response)`
 */
export async function startUpstream({ id, service, zone, port, controlPlane, slots = 16, onRun }) {
    const born = Date.now();
    const runs = [];
    let sequence = 0;
    const server = createServer((request, response) => {
        void serve(request, response).catch(() => response.destroy());
    });

    async function serve(request, response) {
        const expected = request.headers["x-expected-instance"];
        if (expected !== undefined && expected !== id) {
            request.resume();
            response.writeHead(421, { "x-instance-id": id }).end();
            return;
        }
        const run = {
            attempt: request.headers["x-attempt-id"],
            service,
            id,
            url: request.url,
            caller: request.headers["x-caller-service"],
            startedAt: Date.now(),
            endedAt: undefined,
            brokenOffAt: undefined,
        };
        runs.push(run);
        response.once("close", () => {
            if (response.writableFinished) {
                run.endedAt = Date.now();
            } else {
                run.brokenOffAt = Date.now();
            }
        });
        await readBody(request);
        await onRun(run, request, response);
    }

    server.keepAliveTimeout = 10_000;
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
    const nextAnnouncement = () => {
        sequence += 1;
        return JSON.stringify({
            service,
            address: `127.0.0.1:${port}`,
            zone,
            version: "v1",
            "concurrency-slots": slots,
            state: "ready",
            "cold-remaining": "0ms",
            sequence,
            born,
        });
    };
    const url = `${controlPlane}/-/instances/${id}`;
    const announce = (body = nextAnnouncement()) => callControlPlane("PUT", url, body);
    let timer = setInterval(() => void announce(), heartbeatMs);
    await announce();
    return {
        id,
        service,
        runs,
        nextAnnouncement,
        announce,
        stopAnnouncing: () => clearInterval(timer),
        leave() {
            clearInterval(timer);
            return callControlPlane("DELETE", url);
        },
        async close() {
            clearInterval(timer);
            server.closeAllConnections();
            const closed = once(server, "close");
            server.close();
            await closed;
        },
    };
}

/** Headers of an upstream's answer to a run. */
export function answerHeaders({ attempt, id }) {
    return { "x-attempt-id": attempt, "x-server-signature": `${id}.${attempt}`, "x-server-load": "1,0,16" };
}
