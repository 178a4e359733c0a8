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
    rawAnswer: string;
    sentHash: string;
    received: Answered;
    drainAnswer: Answered;
    writtenBytes: number;
    silentServer?: Server;
}

export const entryOf = (world: World) => world.deployment.hosts[0] as TestHost;
export const hostOf = (world: World, index: number) => world.deployment.hosts[index] as TestHost;
export const hashOf = (bytes: Buffer) => createHash("sha256").update(bytes).digest("hex");
export const runsOf = (world: World, callId: string) =>
    world.deployment.ledger.filter(run => run.callId === callId);
export const reportedHash = (answer: Answer) => (JSON.parse(answer.body.toString()) as { hash: string }).hash;
/** Time for a change to reach the other daemons and backend servers, in milliseconds. */
export const settleMs = 60;

/** Waits up to the limit for the condition, and returns whether it was met. */
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
