import { After, Given, Then, When } from "@cucumber/cucumber";
import { startBackendServer, type StandInBackendServer } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { startHostProcesses, type HostProcess, type HostProcesses } from "./hostProcesses.js";

interface World {
    leaving?: HostProcesses;
    server?: StandInBackendServer;
    /** Instant at which each client closed its connection, by the id of its call. */
    leftAt: Map<string, number>;
}

const scenarioMs = 40_000;
const startMs = 15_000;
const pollMs = 25;
/** Time from the start of the busy turns to the first call, in milliseconds. */
const headStartMs = 150;

/**
 * On SIGUSR2 every turn of the event loop is busy for a while, as that of a young process is. A process accepts one
 * connection of a listener in each turn, so many that come at once wait long.
 */
function busyTurns(turnMs: number, forMs: number): string {
    const script = `process.on("SIGUSR2", () => {
        const end = Date.now() + ${forMs};
        const turn = () => {
            const until = Date.now() + ${turnMs};
            while (Date.now() < until);
            if (until < end) setImmediate(turn);
        };
        turn();
    });`;
    return `data:text/javascript,${encodeURIComponent(script)}`;
}

After({ timeout: scenarioMs }, async function (this: World) {
    await this.server?.close();
    await this.leaving?.close();
});

function hostNamed({ leaving }: World, name: string): HostProcess {
    return leaving?.hosts.find(host => host.name === name) as HostProcess;
}

interface LeavingCall {
    readonly id: string;
    readonly deadlineMs: number;
    readonly leavesAfterMs: number;
    /** @default a new connection */
    readonly agent?: Agent;
}

/** Makes a call whose client closes its connection after a time; tells the status, or 0. */
function call(world: World, entry: HostProcess, { id, deadlineMs, leavesAfterMs, agent }: LeavingCall) {
    return new Promise<number>(resolve => {
        const headers = {
            "tanagertray-caller": "site-desk",
            "tanagertray-call-id": id,
            "tanagertray-deadline-ms": String(deadlineMs),
            "x-ledger-id": id,
        };
        const sent = request(`http://${entry.calls}/stock/items/7`, { agent: agent ?? false, headers });
        sent.on("error", () => resolve(0));
        sent.on("response", response => {
            clearTimeout(timer);
            response.resume().on("close", () => resolve(response.statusCode ?? 0));
        });
        const timer = setTimeout(() => {
            world.leftAt.set(id, Date.now());
            sent.destroy();
        }, leavesAfterMs);
        sent.end();
    });
}

const patient = { deadlineMs: 5_000, leavesAfterMs: 5_000 };

interface BusySite {
    readonly names: string;
    readonly forMs: number;
    readonly turnMs: number;
    readonly slots: number;
    /** Host of the backend server. */
    readonly at: string;
}

/** Slots of a backend server whose calls need not wait. */
const manySlots = 100;

async function startBusySite(world: World, { names, forMs, turnMs, slots, at }: BusySite): Promise<void> {
    const nodeArguments = ["--import", busyTurns(turnMs, forMs)];
    world.leaving = await startHostProcesses(names.split(","), "eager", { nodeArguments });
    world.leftAt = new Map();
    const [entry] = world.leaving.hosts as [HostProcess];
    const end = performance.now() + startMs;
    while ((await entry.sample()) === undefined && performance.now() < end) {
        await sleep(pollMs);
    }
    await entry.accept("playground/kuasa/answers.jsonc");
    const daemon = { url: `http://${hostNamed(world, at).admin}`, token: "backend-token-0001" };
    world.server = await startBackendServer({ id: "s1", service: "stock", slots, daemon });
    while ((await call(world, entry, { id: "first", ...patient })) !== 200) {
        assert.ok(performance.now() < end, "no call was served");
        await sleep(pollMs);
    }
}

Given(
    "daemon processes {string} that can be made busy for {int} ms with turns of {int} ms, and a backend server at {string}",
    { timeout: scenarioMs },
    function (this: World, names: string, forMs: number, turnMs: number, at: string) {
        return startBusySite(this, { names, forMs, turnMs, slots: manySlots, at });
    },
);

Given(
    "daemon processes {string} that can be made busy for {int} ms with turns of {int} ms, and a backend server with {int} slot at {string}",
    { timeout: scenarioMs },
    function (this: World, names: string, forMs: number, turnMs: number, slots: number, at: string) {
        return startBusySite(this, { names, forMs, turnMs, slots, at });
    },
);

/** Time that a call holds the slot, in milliseconds. */
const heldMs = 300;
/** Time for a call to reach the backend server or its queue, in milliseconds. */
const reachMs = 100;
/** Time for which the others wait before they leave, in milliseconds: they close once the slot is free. */
const waitedMs = 250;

Given(
    "{int} clients of {string} were served while they waited for each other",
    { timeout: scenarioMs },
    async function (this: World, count: number, name: string) {
        this.server?.setFaults({ workMs: reachMs });
        const calls = Array.from({ length: count }, (_, at) =>
            call(this, hostNamed(this, name), { id: `before${at}`, ...patient }),
        );
        assert.deepEqual(await Promise.all(calls), Array(count).fill(200));
    },
);

When(
    "{string} is busy while its only slot gets free and {int} clients of {string} that wait for it leave",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, name: string) {
        const entry = hostNamed(this, name);
        this.server?.setFaults({ workMs: heldMs });
        const holding = call(this, entry, { id: "holding", ...patient });
        await sleep(reachMs);
        const waiting = Array.from({ length: count }, (_, at) =>
            call(this, entry, { id: `c${at}`, deadlineMs: 5_000, leavesAfterMs: waitedMs }),
        );
        await sleep(reachMs);
        hostNamed(this, busy).child.kill("SIGUSR2");
        await Promise.all([holding, ...waiting]);
        assert.equal(this.leftAt.size, count, "calls were answered before their clients could leave");
        this.server?.setFaults({ workMs: 0 });
    },
);

When(
    "{string} are busy and {int} clients that leave at their deadline of {int} ms call {string} at once",
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: number, deadlineMs: number, name: string) {
        busy.split(",").forEach(host => hostNamed(this, host).child.kill("SIGUSR2"));
        await sleep(headStartMs);
        const entry = hostNamed(this, name);
        await Promise.all(
            Array.from({ length: count }, (_, at) =>
                call(this, entry, { id: `c${at}`, deadlineMs, leavesAfterMs: deadlineMs }),
            ),
        );
    },
);

When(
    "{string} is stopped for {int} ms and {int} clients that leave at their deadline of {int} ms call {string}",
    { timeout: scenarioMs },
    async function (
        this: World,
        stopped: string,
        ms: number,
        count: number,
        deadlineMs: number,
        name: string,
    ) {
        const entry = hostNamed(this, name);
        const { child } = hostNamed(this, stopped);
        child.kill("SIGSTOP");
        const calls = Array.from({ length: count }, (_, at) =>
            call(this, entry, { id: `c${at}`, deadlineMs, leavesAfterMs: deadlineMs }),
        );
        await sleep(ms);
        child.kill("SIGCONT");
        await Promise.all(calls);
    },
);

When(
    /^"(\w+)" is busy while (\d+) clients call "(\w+)" on (new|kept) connections and leave after (\d+) ms$/,
    { timeout: scenarioMs },
    async function (this: World, busy: string, count: string, name: string, kind: string, ms: string) {
        const entry = hostNamed(this, name);
        const agent = new Agent({ keepAlive: true, maxSockets: Number(count) });
        const options = kind === "kept" ? { agent } : {};
        const callAll = (prefix: string, times: Omit<LeavingCall, "id">) =>
            Promise.all(
                Array.from({ length: Number(count) }, (_, at) =>
                    call(this, entry, { id: `${prefix}${at}`, ...times, ...options }),
                ),
            );
        await callAll("opens", patient);
        hostNamed(this, busy).child.kill("SIGUSR2");
        await sleep(reachMs);
        await callAll("leaves", { deadlineMs: 5_000, leavesAfterMs: Number(ms) });
        agent.destroy();
    },
);

Then(
    "within {int} ms no call reached the backend server more than {int} ms after its client left",
    { timeout: scenarioMs },
    async function (this: World, withinMs: number, ms: number) {
        await sleep(withinMs);
        const late = (this.server as StandInBackendServer).ledger().runs.flatMap(({ id, started }) => {
            const lateMs = started - (this.leftAt.get(id) ?? Infinity);
            return lateMs > ms ? [`${id}: ${lateMs} ms`] : [];
        });
        assert.deepEqual(late, []);
    },
);

Then("a patient client of {string} is served", { timeout: scenarioMs }, async function (this: World, name) {
    assert.equal(await call(this, hostNamed(this, name), { id: "last", ...patient }), 200);
});
