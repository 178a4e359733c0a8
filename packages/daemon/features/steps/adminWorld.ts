import type { ReadinessState } from "@tanagertray/core";
import type { Board, Closeable, RevisionCommand } from "@tanagertray/daemon";
import assert from "node:assert/strict";
import type { ClientRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

/** State of a scenario that sends requests to an admin listener. */
export interface World {
    board: Board;
    port: number;
    closeables: Closeable[];
    commands: RevisionCommand[];
    setReadiness: (state: ReadinessState) => void;
    unfinishedRequests: ClientRequest[];
    status: number;
    text: string;
    lines: string[];
    exported: number;
    dropped: number;
    /** Time in which the export of spans was closed, in milliseconds. */
    closedAfterMs: number;
}

export const tokens = [
    "operator-token-0001",
    "operator-token-0002",
    "backend-token-0001",
    "wrong-token-00001",
];

/** Sends a request and stores the status and the body of the response in the world. */
export async function send(world: World, requestLine: string, token: string, body?: string): Promise<void> {
    const [method = "GET", path = "/"] = requestLine.split(" ");
    const response = await request(`http://127.0.0.1:${world.port}${path}`, {
        method: method as "GET",
        headers: { authorization: `Bearer ${token}`, "content-type": "application/json" },
        ...(body === undefined ? {} : { body }),
        reset: true,
    });
    world.status = response.statusCode;
    world.text = await response.body.text();
}

/** Polls until the condition is true; fails the scenario after 3 s. */
export async function waitFor(condition: () => Promise<boolean> | boolean): Promise<void> {
    for (let attempt = 0; attempt < 150; attempt += 1) {
        if (await condition()) {
            return;
        }
        await sleep(20);
    }
    assert.fail("the condition was not met within 3 s");
}
