import { createHash, randomBytes } from "node:crypto";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "../bench/random.js";
import { Phase, type Call, type SoakBoard } from "./board.js";
import { CallKind, makeCall, Manner, type CallPlan } from "./call.js";
import type { Place, Site } from "./site.js";

const clientsPerHost = 3;
/** Least and greatest time between two calls of a client, in milliseconds. */
const pauseMs = [20, 180] as const;
const smallBytes = 300;
const mediumBytes = 60_000;
/** Largest body, in bytes. */
const largeBytes = 3_000_000;
/** Share of the uploads that are sent in chunks, without a length. */
const chunkedShare = 0.3;
const content = randomBytes(largeBytes);

type Weights<T> = readonly (readonly [T, number])[];
const kinds: Weights<CallKind> = [
    [CallKind.Safe, 5],
    [CallKind.Unsafe, 4],
    [CallKind.Upload, 2],
];
const manners: Weights<Manner> = [
    [Manner.Stay, 8],
    [Manner.LeaveEarly, 1],
    [Manner.ReadSlowly, 1],
];
const sizes: Weights<number> = [
    [smallBytes, 16],
    [mediumBytes, 3],
    [largeBytes, 1],
];
const bodyBytes = {
    [CallKind.Safe]: [[0, 1]],
    [CallKind.Unsafe]: [[smallBytes, 1]],
    [CallKind.Upload]: [
        [mediumBytes, 2],
        [2 * mediumBytes, 2],
        [largeBytes, 1],
    ],
} satisfies Record<CallKind, Weights<number>>;

export interface Clients {
    /** Calls every service and the newest route through every host until each was served, or for that time. */
    serveAll(limitMs: number): Promise<{ readonly ms: number; readonly unserved: readonly string[] }>;
    /** Resolves when the last call has ended. */
    close(): Promise<void>;
}

/** Calls the services through every host, over connections that are kept open. */
export function createClients(board: SoakBoard, { places, services }: Site, seed: number): Clients {
    const calls = board.claimFeed("calls");
    let count = 0;

    async function call(
        place: Place,
        given: Partial<CallPlan>,
        agent: Agent | false,
        start = 0,
    ): Promise<Call> {
        const sent = { kind: CallKind.Safe, bodyBytes: 0, ...given };
        const body = content.subarray(start, start + sent.bodyBytes);
        const plan: CallPlan = {
            id: `c-${seed}-${(count += 1)}`,
            path: "",
            manner: Manner.Stay,
            size: smallBytes,
            isChunked: false,
            hash: createHash("sha256").update(body).digest("hex"),
            deadlineMs: 1_200,
            leaveAfterMs: 0,
            ...sent,
        };
        const end = await makeCall(plan, { body, agent, address: place.daemonAddresses[0] });
        const ended = { ...end, host: place.host };
        calls.append(ended);
        return ended;
    }

    async function runClient(place: Place, number: number): Promise<void> {
        const random = createRandom(seed * 1_000 + place.host * clientsPerHost + number);
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const pick = <T>(weights: Weights<T>): T => {
            let left = random() * weights.reduce((sum, [, weight]) => sum + weight, 0);
            return (weights.find(([, weight]) => (left -= weight) < 0) ?? weights[0])?.[0] as T;
        };
        while (board.read("phase") !== Phase.Done) {
            const kind = pick(kinds);
            const service = services[Math.floor(random() * services.length)];
            const plan = {
                kind,
                path: `/${kind}-${service}/x`,
                manner: pick(manners),
                isChunked: kind === CallKind.Upload && random() < chunkedShare,
                size: kind === CallKind.Upload ? smallBytes : pick(sizes),
                bodyBytes: pick(bodyBytes[kind] as Weights<number>),
                deadlineMs: Math.round(500 + random() * 1_000),
                leaveAfterMs: random() * 200,
            };
            await call(place, plan, agent, Math.floor(random() * (largeBytes - plan.bodyBytes)));
            await sleep(pauseMs[0] + random() * (pauseMs[1] - pauseMs[0]));
        }
        agent.destroy();
    }

    /** Asks which version is in force, by the routes of the newest and of the one before. */
    async function askVersion(place: Place): Promise<void> {
        for (let turn = 0; board.read("phase") !== Phase.Done; turn += 1) {
            const version = Math.max(1, board.read("version") - (turn % 2));
            await call(place, { path: `/v${version}/x` }, false);
            await sleep(pauseMs[1]);
        }
    }

    const loops = places.flatMap(place => [
        ...Array.from({ length: clientsPerHost }, (_, number) => runClient(place, number)),
        askVersion(place),
    ]);
    return {
        async serveAll(limitMs) {
            const from = performance.now();
            const paths = [`/v${board.read("version")}/x`, ...services.map(service => `/safe-${service}/x`)];
            let unserved = places.flatMap(place => paths.map(path => ({ place, path })));
            for (;;) {
                const round = await Promise.all(
                    unserved.map(({ place, path }) => call(place, { path }, false)),
                );
                // Backend servers may be too few for all at once.
                unserved = unserved.filter((_, at) => round[at]?.status !== 200 || !round[at].isOwn);
                const ms = Math.round(performance.now() - from);
                if (unserved.length === 0 || ms > limitMs) {
                    return {
                        ms,
                        unserved: unserved.map(({ place, path }) => `${path} through ${place.name}`),
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
