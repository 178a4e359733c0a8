/** Trial: SIGHUP in the first moments of a daemon's start ends its process. */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib/case.mjs";
import { skimBounds } from "../lib/machines.mjs";

/** Times from the start of the process to the signal, in milliseconds. */
const signalTimesMs = [20, 60, 100, 200, 500];
const startTimeMs = 2_000;

await runCase("review/found/hangup.txt", async ({ addMachine, note }) => {
    const ended = [];
    for (const afterMs of signalTimesMs) {
        const machine = await addMachine({
            name: `after-${afterMs}`,
            zone: "mafraq-a",
            region: "mafraq",
            service: "pondboard",
            bounds: skimBounds,
        });
        await sleep(afterMs);
        machine.signal("SIGHUP");
        await sleep(startTimeMs);
        const hasStarted = machine.log().includes("daemon.started");
        note(`SIGHUP ${afterMs} ms after the start: the process ${hasStarted ? "runs" : "has ended"}`);
        if (!hasStarted) {
            ended.push(`ended by SIGHUP ${afterMs} ms after its start`);
        }
    }
    return ended;
});
