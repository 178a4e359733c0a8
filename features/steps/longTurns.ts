import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { call, hostNamed, patientClient, scenarioMs, type World } from "./abandoningClients.js";

/** Time in which a signal makes a process busy, in milliseconds. */
const signalMs = 150;

When(
    "{string} are busy and {int} patient clients call {string} over {int} ms",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, name: string, ms: number) {
        const entry = hostNamed(this, name);
        const agent = new Agent({ keepAlive: true, maxSockets: count });
        const times = { deadlineMs: 2_500, leavesAfterMs: 2_500 };
        const callAt = async (index: number, afterMs: number) => {
            await sleep(afterMs);
            return call(this, entry, { id: `p${index}`, ...times, agent });
        };
        // Opens the connections that the calls use.
        await Promise.all(Array.from({ length: count / 2 }, (_, index) => callAt(-1 - index, 0)));
        busy.split(",").forEach(host => hostNamed(this, host).child.kill("SIGUSR2"));
        await sleep(signalMs);
        this.statuses = await Promise.all(
            Array.from({ length: count }, (_, index) => callAt(index, (index * ms) / count)),
        );
        agent.destroy();
    },
);

Then("at least {int} of them are served", function (this: World, least: number) {
    const served = this.statuses.filter(status => status === 200).length;
    assert.ok(served >= least, `${served} served: ${this.statuses.join()}`);
});

/** Time for which each of many calls occupies its slot, in milliseconds. */
const manyCallsWorkMs = 20;

When(
    "{string} are busy and {int} patient clients call {string} on kept connections again and again for {int} ms",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, name: string, forMs: number) {
        const entry = hostNamed(this, name);
        const agent = new Agent({ keepAlive: true, maxSockets: count });
        const callAll = (prefix: string) =>
            Promise.all(
                Array.from({ length: count }, (_, index) =>
                    call(this, entry, { id: `${prefix}${index}`, ...patientClient, agent }),
                ),
            );
        assert.deepEqual(await callAll("opens"), Array(count).fill(200));
        this.server?.setFaults({ workMs: manyCallsWorkMs });
        busy.split(",").forEach(host => hostNamed(this, host).child.kill("SIGUSR2"));
        await sleep(signalMs);
        const end = performance.now() + forMs;
        this.servedCount = 0;
        const callAgain = async (client: number) => {
            for (let round = 0; performance.now() < end; round += 1) {
                const status = await call(this, entry, {
                    id: `c${client}-${round}`,
                    ...patientClient,
                    agent,
                });
                this.servedCount += status === 200 && performance.now() < end ? 1 : 0;
            }
        };
        await Promise.all(Array.from({ length: count }, (_, client) => callAgain(client)));
        agent.destroy();
    },
);

Then("at least {int} calls were served meanwhile", function (this: World, count: number) {
    assert.ok(this.servedCount >= count, `only ${this.servedCount} calls were served`);
});
