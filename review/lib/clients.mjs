/** Stand-in for a client: sends one attempt and reports how it ended. */
import { randomUUID } from "node:crypto";
import { Agent, request as sendRequest } from "node:http";

/** Keeps its connections open, like the clients of the platform. */
export function createAgent() {
    return new Agent({ keepAlive: true });
}

/**
 * Sends one attempt. Resolves with its status, body and end: `complete`, `cut` after the head, or `closed` before it.
 *
 * @param options - `to`, `host`, `path`, `deadlineMs`, and optionally `method`, `body`, `agent`
 */
export function sendAttempt({ to, host, path, deadlineMs, method = "GET", body, agent }) {
    const attempt = { id: randomUUID().replaceAll("-", "").slice(0, 16), path, sentAt: Date.now() };
    const done = new Promise(resolve => {
        const chunks = [];
        let head = { status: 0, headers: {} };
        const received = () => Buffer.concat(chunks).toString();
        const finish = fields => {
            clearTimeout(timer);
            resolve({ ...attempt, ...head, body: received(), ...fields, endedAt: Date.now() });
        };
        const call = sendRequest({
            ...to,
            method,
            path,
            agent: agent ?? false,
            headers: {
                host,
                "x-attempt-id": attempt.id,
                "x-request-deadline": String(deadlineMs),
                ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
            },
        });
        const timer = setTimeout(() => {
            finish({ end: "deadline" });
            call.destroy();
        }, deadlineMs);
        const fail = error => finish({ end: head.status === 0 ? "closed" : "cut", error: error.code });
        call.on("error", fail);
        call.on("response", response => {
            head = { status: response.statusCode, headers: response.headers };
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => finish({ end: "complete" }));
            response.on("error", fail);
        });
        call.end(body);
    });
    return { id: attempt.id, sentAt: attempt.sentAt, done };
}
