import { ReadinessState } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Decides whether this host admits calls. */
export function createReadiness(board: Board): Closeable {
    const readiness = board.claimValue("readiness");
    const subscription = board.observe(["configuration", "platformState", "shutdown"], () => {
        const floor = board.read("platformState").head?.version ?? 0;
        const held = board.read("configuration").held?.manifest.version ?? 0;
        const draining = board.read("shutdown").requested;
        const ready = held > 0 && held >= floor;
        const state = draining
            ? ReadinessState.Draining
            : ready
              ? ReadinessState.Ready
              : ReadinessState.Joining;
        if (state !== board.read("readiness").state) {
            const reason = `holds version ${held}, floor ${floor}`;
            readiness.write({ state, reason, floor, since: board.read("clock").now });
        }
    });
    return { close: () => subscription.close() };
}
