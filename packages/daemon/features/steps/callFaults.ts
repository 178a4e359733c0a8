import { After, Given, Then, When } from "@cucumber/cucumber";
import { NewConnections, startRelay, type Relay } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { request as httpRequest } from "node:http";
import type { AddressInfo, Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { answerOf } from "./callBackend.js";
import { call, type Answer } from "./callClient.js";
import { createDeployment, type Deployment, type TestHost } from "./callFixture.js";
import { eventually, hashOf, resultOf, settleMs } from "./callWorld.js";

/** A call whose caller sends the body in parts. */
interface SteppedCall {
    readonly name: string;
    readonly callId: string;
    readonly method: string;
    readonly body: Buffer;
    readonly end: Promise<Answer>;
    receivedBytes(): number;
    abandon(): void;
    send(part: Buffer): void;
    sendRest(): void;
}

interface World {
    ends: { readonly deployment: Deployment; readonly relay: Relay; calls: SteppedCall[] }[];
}

const defaultDeadlineMs = 2_000;
/**
 * Deadlines of the steps that transfer 40 to 160 MB through this process first, in milliseconds: five times the duration
 * on an idle machine, so that the call reaches its step on a busy one too.
 */
const longDeadlinesMs: Readonly<Record<string, number>> = {
    "half-body": 6_000,
    waiting: 8_000,
    "half-answer": 12_000,
};
/** Minimum time between reaching the step and the deadline, in milliseconds. */
const stepMarginMs = 100;
const deadlineOf = (step: string) => longDeadlinesMs[step] ?? defaultDeadlineMs;
const sizes = [200, 20 * 1_048_576];
/** PUT is repeatable and POST is not. */
const methods = ["PUT", "POST"];

const addressOf = (server: Server) => `127.0.0.1:${(server.address() as AddressInfo).port}`;

/** The two connections of a call, each through a relay that injects the faults. */
const relayStarters: Record<string, (deployment: Deployment, host: TestHost) => Promise<Relay>> = {
    daemon: async (deployment, host) => {
        const relay = await startRelay({ target: addressOf(host.peer) });
        deployment.setRecord(host.name, { peerAddress: relay.address });
        return relay;
    },
    server: async (_deployment, host) => {
        const relay = await startRelay({ target: addressOf(host.backend) });
        host.setServer({ address: relay.address });
        return relay;
    },
};

const faults: Record<string, (relay: Relay) => void> = {
    kill: relay => relay.cut(),
    cut: relay => {
        relay.cut();
        relay.restore();
    },
    pause: relay => relay.silence({ newConnections: NewConnections.Silent }),
    silence: relay => relay.silence(),
};

Given("calls to a daemon and to a backend server behind relays", async function (this: World) {
    this.ends = await Promise.all(
        Object.values(relayStarters).map(async open => {
            const deployment = await createDeployment({ hosts: 3, slots: 20, entryLacksBackend: true });
            const relay = await open(deployment, deployment.hosts[1] as TestHost);
            deployment.setRecord("h2", { offers: [] });
            await sleep(settleMs);
            return { deployment, relay, calls: [] };
        }),
    );
});

After(async function (this: Partial<World>) {
    for (const { deployment, relay, calls } of this.ends ?? []) {
        calls.forEach(stepped => stepped.abandon());
        deployment.ledger.forEach(run => run.release());
        await relay.close();
        await deployment.close();
    }
});

/** Starts a call without sending its body. */
function startCall(host: TestHost, method: string, bytes: number, step: string): SteppedCall {
    const callId = randomUUID();
    const body = Buffer.alloc(bytes, `${callId} body `);
    let sent = 0;
    let receivedBytes = 0;
    const request = httpRequest({
        port: host.calls.port,
        host: "127.0.0.1",
        agent: false,
        method,
        path: `/orders/held/${bytes}/${step}`,
        headers: {
            "tanagertray-caller": "crews",
            "tanagertray-call-id": callId,
            "tanagertray-deadline-ms": String(deadlineOf(step)),
            "content-length": String(bytes),
        },
    });
    const end = new Promise<Answer>(resolve => {
        const failed = { status: 0, headers: {}, body: Buffer.alloc(0), reset: true };
        request.on("error", () => setTimeout(() => resolve(failed), 20));
        request.on("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => {
                receivedBytes += chunk.length;
                chunks.push(chunk);
            });
            response.on("error", () => undefined);
            response.on("close", () => {
                const { statusCode: status = 0, headers } = response;
                resolve({ status, headers, body: Buffer.concat(chunks), reset: !response.complete });
            });
        });
    });
    return {
        name: `${method} of ${bytes} bytes`,
        callId,
        method,
        body,
        end,
        receivedBytes: () => receivedBytes,
        send(part) {
            sent += part.length;
            request.write(part);
        },
        abandon: () => void request.destroy(),
        sendRest: () => void request.end(body.subarray(sent)),
    };
}

const runsOf = (deployment: Deployment, { callId }: SteppedCall) =>
    deployment.ledger.filter(run => run.callId === callId);
const receivedBy = (deployment: Deployment, stepped: SteppedCall) =>
    runsOf(deployment, stepped).reduce((sum, run) => sum + run.received, 0);

/** Progress of each call, for the message when a call does not reach its step. */
const progressOf = ({ deployment, calls }: World["ends"][number]) =>
    Promise.all(
        calls.map(async stepped => {
            const answer = await Promise.race([stepped.end, undefined]);
            const received = `${receivedBy(deployment, stepped)} bytes received by the backend server`;
            return `${stepped.name}: ${received}, response ${answer === undefined ? "none" : resultOf(answer)}`;
        }),
    );

/** By step: a function that advances a call to it, and one that returns whether the call has reached it. */
const steps: Record<
    string,
    readonly [(call: SteppedCall) => void, (deployment: Deployment, call: SteppedCall) => boolean]
> = {
    connected: [() => undefined, () => true],
    "head-sent": [
        stepped => stepped.send(stepped.body.subarray(0, 1)),
        (deployment, stepped) => runsOf(deployment, stepped).length > 0,
    ],
    "half-body": [
        stepped => stepped.send(stepped.body.subarray(0, stepped.body.length / 2)),
        (deployment, stepped) => receivedBy(deployment, stepped) >= stepped.body.length / 2,
    ],
    waiting: [
        stepped => stepped.sendRest(),
        (deployment, stepped) => receivedBy(deployment, stepped) === stepped.body.length,
    ],
    "half-answer": [
        stepped => stepped.sendRest(),
        (_deployment, stepped) => stepped.receivedBytes() >= stepped.body.length / 2,
    ],
};

When(
    "a {string} interrupts each end of calls at {string}",
    { timeout: 30_000 },
    async function (this: World, fault: string, step: string) {
        const [advance, reached] = steps[step] as (typeof steps)[string];
        await Promise.all(
            this.ends.map(async end => {
                const { deployment, relay } = end;
                const entry = deployment.hosts[0] as TestHost;
                await call(entry, { path: "/warm" });
                end.calls = methods.flatMap(method =>
                    sizes.map(size => startCall(entry, method, size, step)),
                );
                end.calls.forEach(advance);
                const all = () => end.calls.every(stepped => reached(deployment, stepped));
                assert.ok(
                    await eventually(deadlineOf(step) - stepMarginMs, all),
                    `not all calls reached "${step}": ${(await progressOf(end)).join("; ")}`,
                );
                faults[fault]?.(relay);
                deployment.setRecord("h2", { offers: [{ service: "orders", slots: 20, startedAt: 0 }] });
                deployment.ledger.forEach(run => run.release());
                if (!["waiting", "half-answer"].includes(step)) {
                    end.calls.forEach(stepped => stepped.sendRest());
                }
                const release = setInterval(() => deployment.ledger.forEach(run => run.release()), 20);
                await Promise.all(end.calls.map(stepped => stepped.end));
                clearInterval(release);
                // Delivers the data that a silence or pause held back, after the deadline of the calls.
                relay.restore();
                await sleep(settleMs);
            }),
        );
    },
);

Then(
    "no call ran twice or was falsely reported as not run, and every response is complete or clearly failed",
    async function (this: World) {
        for (const { deployment, calls } of this.ends) {
            for (const stepped of calls) {
                const answer = await stepped.end;
                const runs = runsOf(deployment, stepped);
                const result = resultOf(answer);
                const name = `${stepped.name}, ${result} after ${runs.length} runs`;
                assert.ok(stepped.method === "PUT" || runs.length <= 1, name);
                assert.ok(result !== "not-run" || runs.length === 0, name);
                const whole = answerOf(stepped.callId, hashOf(stepped.body), stepped.body.length);
                assert.ok(result !== "completed" || whole.equals(answer.body), name);
                assert.ok(["completed", "not-run", "unknown", "reset"].includes(result), name);
            }
        }
    },
);
