import { createHash, randomBytes } from "node:crypto";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "../bench/random.js";
import { Phase, type Call, type SoakBoard } from "./board.js";
import { CallKind, ClientBehavior, makeCall, type CallPlan } from "./call.js";
import type { Site, SiteHost } from "./site.js";

const clientsPerHost = 3;
/** Minimum and maximum time between two calls of a client, in milliseconds. */
const pauseMs = [20, 180] as const;
const smallBytes = 300;
const mediumBytes = 60_000;
/** Size of the largest body, in bytes. */
const largeBytes = 3_000_000;
/** Share of uploads that use chunked transfer encoding. */
const chunkedShare = 0.3;
const bodySource = randomBytes(largeBytes);

type Weights<T> = readonly (readonly [T, number])[];
const callKinds: Weights<CallKind> = [
    [CallKind.Safe, 5],
    [CallKind.Unsafe, 4],
    [CallKind.Upload, 2],
];
const clientBehaviors: Weights<ClientBehavior> = [
    [ClientBehavior.WaitForAnswer, 8],
    [ClientBehavior.DisconnectEarly, 1],
    [ClientBehavior.ReadSlowly, 1],
];
const answerSizes: Weights<number> = [
    [smallBytes, 16],
    [mediumBytes, 3],
    [largeBytes, 1],
];
const uploadSizes = {
    [CallKind.Safe]: [[0, 1]],
    [CallKind.Unsafe]: [[smallBytes, 1]],
    [CallKind.Upload]: [
        [mediumBytes, 2],
        [2 * mediumBytes, 2],
        [largeBytes, 1],
    ],
} satisfies Record<CallKind, Weights<number>>;

export interface Clients {
    /** Calls every service and the newest route through every host until each call succeeds or the timeout elapses. */
    callUntilServed(
        timeoutMs: number,
    ): Promise<{ readonly ms: number; readonly unserved: readonly string[] }>;
    /** Resolves when the clients have stopped. They stop in the `Done` phase. */
    close(): Promise<void>;
}

/** Calls the services through every host over persistent connections. */
export function createClients(board: SoakBoard, { siteHosts, services }: Site, seed: number): Clients {
    const calls = board.claimFeed("calls");
    let callCount = 0;

    async function call(
        siteHost: SiteHost,
        overrides: Partial<CallPlan>,
        agent: Agent | false,
        bodyStart = 0,
    ): Promise<Call> {
        const fields = { kind: CallKind.Safe, bodyBytes: 0, ...overrides };
        const body = bodySource.subarray(bodyStart, bodyStart + fields.bodyBytes);
        const plan: CallPlan = {
            id: `c-${seed}-${(callCount += 1)}`,
            path: "",
            manner: ClientBehavior.WaitForAnswer,
            size: smallBytes,
            isChunked: false,
            hash: createHash("sha256").update(body).digest("hex"),
            deadlineMs: 1_200,
            leaveAfterMs: 0,
            ...fields,
        };
        const result = await makeCall(plan, { body, agent, address: siteHost.daemonAddresses[0] });
        const ended = { ...result, host: siteHost.host };
        calls.append(ended);
        return ended;
    }

    async function runClient(siteHost: SiteHost, number: number): Promise<void> {
        const random = createRandom(seed * 1_000 + siteHost.host * clientsPerHost + number);
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const pick = <T>(weights: Weights<T>): T => {
            let remaining = random() * weights.reduce((sum, [, weight]) => sum + weight, 0);
            return (weights.find(([, weight]) => (remaining -= weight) < 0) ?? weights[0])?.[0] as T;
        };
        while (board.read("phase") !== Phase.Done) {
            const kind = pick(callKinds);
            const service = services[Math.floor(random() * services.length)];
            const plan = {
                kind,
                path: `/${kind}-${service}/x`,
                manner: pick(clientBehaviors),
                isChunked: kind === CallKind.Upload && random() < chunkedShare,
                size: kind === CallKind.Upload ? smallBytes : pick(answerSizes),
                bodyBytes: pick(uploadSizes[kind] as Weights<number>),
                deadlineMs: Math.round(500 + random() * 1_000),
                leaveAfterMs: random() * 200,
            };
            await call(siteHost, plan, agent, Math.floor(random() * (largeBytes - plan.bodyBytes)));
            await sleep(pauseMs[0] + random() * (pauseMs[1] - pauseMs[0]));
        }
        agent.destroy();
    }

    /** Calls the routes of the newest version and of the one before in turn, which shows the version in force. */
    async function pollVersion(siteHost: SiteHost): Promise<void> {
        for (let turn = 0; board.read("phase") !== Phase.Done; turn += 1) {
            const version = Math.max(1, board.read("version") - (turn % 2));
            await call(siteHost, { path: `/v${version}/x` }, false);
            await sleep(pauseMs[1]);
        }
    }

    const loops = siteHosts.flatMap(siteHost => [
        ...Array.from({ length: clientsPerHost }, (_, number) => runClient(siteHost, number)),
        pollVersion(siteHost),
    ]);
    return {
        async callUntilServed(timeoutMs) {
            const startedAt = performance.now();
            const paths = [`/v${board.read("version")}/x`, ...services.map(service => `/safe-${service}/x`)];
            let unserved = siteHosts.flatMap(siteHost => paths.map(path => ({ siteHost, path })));
            for (;;) {
                const results = await Promise.all(
                    unserved.map(({ siteHost, path }) => call(siteHost, { path }, false)),
                );
                // Only the calls that failed are repeated: the backend servers may lack slots for all of them at once.
                unserved = unserved.filter((_, at) => results[at]?.status !== 200 || !results[at].isOwn);
                const ms = Math.round(performance.now() - startedAt);
                if (unserved.length === 0 || ms > timeoutMs) {
                    return {
                        ms,
                        unserved: unserved.map(({ siteHost, path }) => `${path} through ${siteHost.name}`),
                    };
                }
                await sleep(pauseMs[1]);
            }
        },
        async close() {
            await Promise.all(loops);
        },
    };
}
