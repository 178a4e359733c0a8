import { resolveAnswers, type ResolvedAnswers } from "@tanagertray/core";
import type { EmulatedFleet } from "@tanagertray/standin/fleet/emulatedFleet";
import assert from "node:assert/strict";

/** Real time that a step with an emulated fleet may take, in milliseconds. */
export const realTimeLimitMs = 60_000;
/** Time between two checks of a condition, in milliseconds of virtual time. */
const checkMs = 100;
const services = ["service-0", "service-1", "service-2", "service-3"];

/** Answers with the services of an emulated fleet. */
export function createFleetAnswers(): ResolvedAnswers {
    const operations = [{ name: "read", method: "GET", path: "/**", repeatable: true }];
    return resolveAnswers({
        deployment: "fleet",
        services: Object.fromEntries(
            services.map(name => [name, { slots: 11, connections: 1_200, operations }]),
        ),
        callers: { outside: { partner: "north", mayCall: services } },
        partners: { north: { share: 1 } },
    });
}

/** Runs the fleet until the condition holds, and fails if it does not hold at the given time. */
export async function runUntilHolds(
    fleet: EmulatedFleet,
    limitMs: number,
    condition: () => boolean,
): Promise<void> {
    let holds = false;
    const check = (at: number) =>
        fleet.queue.schedule(at, () => {
            holds = condition();
            if (!holds && at < limitMs) {
                check(at + checkMs);
            }
        });
    check(fleet.queue.now());
    await fleet.runUntil(limitMs, () => holds);
    assert.ok(holds, `not reached within ${limitMs} ms of virtual time`);
}
