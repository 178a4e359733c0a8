import { After, Given, Then, When } from "@cucumber/cucumber";
import { RelayDirection } from "@tanagertray/standin";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { startHostProcesses, type HostProcess, type HostProcesses } from "./hostProcesses.js";

interface World {
    processes?: HostProcesses;
    /** Number of samples of each host before its last restart. */
    sampleCountBeforeRestart: Map<string, number>;
    /** Refusal reasons of the calls that were sent while a process was stopped. */
    refusalReasons: (string | null)[];
}

const scenarioMs = 40_000;
const startMs = 15_000;
const pollMs = 25;
const answersFiles = ["playground/kuasa/answers.jsonc", "playground/kuasa/answers.second.jsonc"] as const;

After({ timeout: scenarioMs }, async function (this: World) {
    await this.processes?.close();
});

function hostNamed({ processes }: World, name: string): HostProcess {
    return processes?.hosts.find(host => host.name === name) as HostProcess;
}

/** Waits until every host but the excluded one is ready on the version. */
async function waitForVersion(
    world: World,
    version: number,
    limitMs: number,
    excluded?: string,
): Promise<void> {
    const end = performance.now() + limitMs;
    const hosts = (world.processes?.hosts ?? []).filter(({ name }) => name !== excluded);
    let lastSamples: unknown[] = [];
    do {
        lastSamples = await Promise.all(hosts.map(host => host.sample()));
        if (
            (lastSamples as HostProcess["samples"]).every(
                sample => sample?.ready && sample.version === version,
            )
        ) {
            return;
        }
        await sleep(pollMs);
    } while (performance.now() < end);
    assert.fail(`not on version ${version} within ${limitMs} ms: ${JSON.stringify(lastSamples)}`);
}

async function callReason(host: HostProcess): Promise<string | null> {
    const headers = { "tanagertray-caller": "site-desk" };
    const response = await fetch(`http://${host.callsAddress}/stock/items/7`, { headers });
    await response.arrayBuffer();
    return response.headers.get("tanagertray-reason");
}

async function acceptVersion(world: World, through: string, version: number): Promise<void> {
    await hostNamed(world, through).accept(answersFiles[(version - 1) % answersFiles.length] as string);
}

async function restart(world: World, hosts: readonly HostProcess[]): Promise<void> {
    await Promise.all(hosts.map(host => host.kill()));
    hosts.forEach(host => world.sampleCountBeforeRestart.set(host.name, host.samples.length));
    hosts.forEach(host => host.start());
}

Given(
    "daemon processes {string} with spread {string} on version {int}",
    { timeout: scenarioMs },
    async function (this: World, names: string, spread: string, version: number) {
        this.processes = await startHostProcesses(names.split(","), spread);
        this.sampleCountBeforeRestart = new Map();
        const [first] = this.processes.hosts as [HostProcess];
        const end = performance.now() + startMs;
        while ((await first.sample()) === undefined && performance.now() < end) {
            await sleep(pollMs);
        }
        for (let next = 1; next <= version; next += 1) {
            await acceptVersion(this, first.name, next);
            await waitForVersion(this, next, startMs);
        }
        // By then every host has received the versions of its peers.
        await sleep(1_100);
    },
);

When("{int} ms pass", { timeout: scenarioMs }, (ms: number) => sleep(ms));

When("the platform goes down", function (this: World) {
    (this.processes as HostProcesses).platform.faults.outage = true;
});

When("the platform returns", function (this: World) {
    (this.processes as HostProcesses).platform.faults.outage = false;
});

When(
    "every daemon process is killed and started again",
    { timeout: scenarioMs },
    async function (this: World) {
        await restart(this, this.processes?.hosts ?? []);
    },
);

When(
    "every daemon process is killed, and all but {string} start again",
    { timeout: scenarioMs },
    async function (this: World, excluded: string) {
        const hosts = this.processes?.hosts ?? [];
        await Promise.all(hosts.map(host => host.kill()));
        hosts.forEach(host => this.sampleCountBeforeRestart.set(host.name, host.samples.length));
        hosts.filter(({ name }) => name !== excluded).forEach(host => host.start());
    },
);

When("daemon process {string} starts again", function (this: World, name: string) {
    hostNamed(this, name).start();
});

When("the platform serves stale rows", function (this: World) {
    (this.processes as HostProcesses).platform.faults.staleWrites = 1;
});

When(
    "daemon process {string} is killed and started again",
    { timeout: scenarioMs },
    async function (this: World, name: string) {
        await restart(this, [hostNamed(this, name)]);
    },
);

When(
    "daemon process {string} is stopped for {int} ms while version {int} is accepted and calls are sent to it",
    { timeout: scenarioMs },
    async function (this: World, name: string, ms: number, version: number) {
        const host = hostNamed(this, name);
        // Opens a connection that stays open, so that one of the later calls waits on it.
        await callReason(host);
        host.child.kill("SIGSTOP");
        const calls = Array.from({ length: 4 }, () => callReason(host));
        await acceptVersion(this, "a1", version);
        await sleep(ms);
        host.child.kill("SIGCONT");
        this.refusalReasons = await Promise.all(calls);
    },
);

Then("every call that waited during the stop was refused as not ready", function (this: World) {
    assert.deepEqual(this.refusalReasons, new Array(this.refusalReasons.length).fill("notReady"));
});

When("the platform is cut for {string}", function (this: World, name: string) {
    hostNamed(this, name).platformRelay.cut();
});

When("all peer links are cut, and the platform is cut for {string}", function (this: World, name: string) {
    this.processes?.hosts.forEach(host => host.peerRelay.cut());
    hostNamed(this, name).platformRelay.cut();
});

When("the connections are restored", function (this: World) {
    this.processes?.hosts.forEach(host =>
        [host.peerRelay, host.platformRelay].forEach(relay => relay.restore()),
    );
});

When(
    "the open links from {string} to {string} go silent in that direction",
    function (this: World, from: string, to: string) {
        // Either of the two hosts may have opened the link.
        hostNamed(this, from).peerRelay.silence({ direction: RelayDirection.FromTarget });
        hostNamed(this, to).peerRelay.silence({ direction: RelayDirection.ToTarget });
    },
);

When(
    "version {int} is accepted through {string}",
    { timeout: scenarioMs },
    async function (this: World, version: number, name: string) {
        await acceptVersion(this, name, version);
    },
);

Then(
    "every daemon process is ready on version {int} within {int} ms",
    { timeout: scenarioMs },
    async function (this: World, version: number, ms: number) {
        await waitForVersion(this, version, ms);
    },
);

Then(
    "every daemon process but {string} is ready on version {int} within {int} ms",
    { timeout: scenarioMs },
    async function (this: World, excluded: string, version: number, ms: number) {
        await waitForVersion(this, version, ms, excluded);
    },
);

Then(
    "daemon process {string} is ready on version {int}",
    async function (this: World, name: string, version: number) {
        const sample = await hostNamed(this, name).sample();
        assert.equal(sample?.ready, true);
        assert.equal(sample?.version, version);
    },
);

Then("no daemon process was ready on a version below {int}", function (this: World, version: number) {
    this.processes?.hosts.forEach(host => assertNoOlderVersion(this, host, version));
});

Then(
    "no restart of {string} was ready on a version below {int}",
    function (this: World, name: string, version: number) {
        assertNoOlderVersion(this, hostNamed(this, name), version);
    },
);

function assertNoOlderVersion({ sampleCountBeforeRestart }: World, host: HostProcess, version: number): void {
    const samples = host.samples.slice(sampleCountBeforeRestart.get(host.name));
    assert.ok(samples.length > 0, `${host.name} has no samples since its restart`);
    const older = samples.filter(sample => sample.ready && sample.version < version);
    assert.deepEqual(older, [], `${host.name} served an older version`);
}
