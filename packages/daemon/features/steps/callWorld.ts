import { createHash } from "node:crypto";
import type { Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Answer } from "./callClient.js";
import type { Deployment, TestHost } from "./callFixture.js";

export type Answered = Answer & { readonly callId: string };

export interface World {
    deployment: Deployment;
    answers: Answered[];
    callId: string;
    raw: string;
    sentHash: string;
    received: Answered;
    late: Answered;
    written: number;
    silent?: Server;
}

export const entryOf = (world: World) => world.deployment.hosts[0] as TestHost;
export const hostOf = (world: World, index: number) => world.deployment.hosts[index] as TestHost;
export const hashOf = (bytes: Buffer) => createHash("sha256").update(bytes).digest("hex");
export const runsOf = (world: World, callId: string) =>
    world.deployment.ledger.filter(run => run.callId === callId);
export const hashIn = (answer: Answer) => (JSON.parse(answer.body.toString()) as { hash: string }).hash;
/** Time in which the other daemons and backend servers notice something. */
export const settleMs = 60;

/** Waits for a condition, up to the given limit. */
export async function eventually(limitMs: number, condition: () => boolean): Promise<boolean> {
    for (const end = Date.now() + limitMs; Date.now() < end; await sleep(10)) {
        if (condition()) {
            return true;
        }
    }
    return condition();
}

export function resultOf(answer: Answer): string {
    const outcome = answer.headers["tanagertray-outcome"];
    return answer.reset ? "reset" : outcome === undefined ? "completed" : String(outcome);
}
