import { Given, Then, When } from "@cucumber/cucumber";
import {
    decideReadiness,
    hostsToAsk,
    MessageKind,
    recordConfirmation,
    recordPeerVersion,
    recordWatermark,
    startJoining,
    type JoinProgress,
    type ReadinessFacts,
} from "@tanagertray/core";
import assert from "node:assert/strict";

interface World {
    joining: JoinProgress;
    facts: ReadinessFacts;
}

const start = 1_000_000;

function decideWith(world: World, change: Partial<ReadinessFacts>): void {
    world.facts = { ...world.facts, ...change };
    world.joining = decideReadiness(world.joining, world.facts);
}

function recordAnswer(world: World, from: string, version: number, held: number): void {
    const message = { kind: MessageKind.Watermark, host: "self", version, incarnation: 1, held };
    world.joining = recordWatermark(world.joining, from, message, world.facts.now);
}

Given("a joining host while the platform is down", function (this: World) {
    this.joining = startJoining(start);
    this.facts = {
        now: start,
        pausedForMs: 0,
        held: 0,
        head: undefined,
        headAskedAt: undefined,
        reachable: false,
        linkedHosts: ["lagging", "current"],
        expectsPeers: true,
        shutdownRequested: false,
    };
    decideWith(this, {});
});

const answerByPeer: Readonly<Record<string, (world: World) => void>> = {
    lagging: world => recordAnswer(world, "lagging", 4, 5),
    // This peer saw the host hold version 6 before the restart.
    current: world => recordAnswer(world, "current", 6, 7),
};

When(
    "its lagging peer and its current peer answer in the order {string}",
    function (this: World, order: string) {
        const hosts = order === "lagging first" ? ["lagging", "current"] : ["current", "lagging"];
        for (const host of hosts) {
            answerByPeer[host]?.(this);
            decideWith(this, {});
        }
    },
);

When("its peers answer that they hold nothing", function (this: World) {
    this.facts.linkedHosts.forEach(host => recordAnswer(this, host, 0, 0));
    decideWith(this, {});
});

When("a peer of the joining host announces version {int}", function (this: World, version: number) {
    this.joining = recordPeerVersion(this.joining, version, this.facts.now);
    decideWith(this, {});
});

When("the joining host has no link but knows addresses of other hosts", function (this: World) {
    this.joining = startJoining(start);
    decideWith(this, { linkedHosts: [], expectsPeers: true });
});

When("the joining host gets its links after {int} ms", function (this: World, ms: number) {
    decideWith(this, { linkedHosts: ["lagging", "current"], now: start + ms });
});

When("the joining host gets version {int} after {int} ms", function (this: World, held: number, ms: number) {
    decideWith(this, { held, now: start + ms });
});

When(
    "the joining host reads head version {int} and gets version {int} after {int} ms",
    function (this: World, head: number, held: number, ms: number) {
        decideWith(this, { held, head, headAskedAt: start + ms, reachable: true, now: start + ms });
    },
);

Then("the joining host is {string} with floor {int}", function (this: World, state: string, floor: number) {
    assert.equal(this.joining.readiness.state, state, this.joining.readiness.reason);
    assert.equal(this.joining.readiness.floor, floor);
});

Then(
    "{int} watermark requests are sent by the joining host in 10 s when only one of two peers answers",
    function (this: World, expected: number) {
        let sent = 0;
        for (let ms = 0; ms < 10_000; ms += 100) {
            decideWith(this, { now: start + ms });
            const { joining, hosts } = hostsToAsk(this.joining, this.facts);
            this.joining = joining;
            sent += hosts.length;
            if (hosts.includes("current")) {
                recordAnswer(this, "current", 0, 0);
            }
        }
        assert.equal(sent, expected);
    },
);

Given("a ready host that holds version {int}", function (this: World, held: number) {
    this.joining = startJoining(start);
    this.facts = {
        now: start,
        pausedForMs: 0,
        held,
        head: held,
        headAskedAt: start + 1_500,
        reachable: true,
        linkedHosts: ["current"],
        expectsPeers: true,
        shutdownRequested: false,
    };
    decideWith(this, {});
    decideWith(this, { now: start + 2_000 });
    assert.equal(this.joining.readiness.state, "ready");
});

const reports: Readonly<Record<string, (world: World) => void>> = {
    nothing: () => {},
    "a buffered heartbeat": world => recordHeartbeat(world, 5, 10),
    "a heartbeat of version 5": world => recordHeartbeat(world, 5, 300),
    "a heartbeat of version 6": world => recordHeartbeat(world, 6, 300),
    "a watermark of version 5": world => {
        decideWith(world, { now: world.facts.now + 300, pausedForMs: 0 });
        assert.deepEqual(hostsToAsk(world.joining, world.facts).hosts, ["current"]);
        recordAnswer(world, "current", 5, 5);
    },
    "a head read of version 5": world => {
        const now = world.facts.now + 300;
        decideWith(world, { now, headAskedAt: now, pausedForMs: 0 });
    },
    "a head read before the pause": world =>
        decideWith(world, { now: world.facts.now + 300, pausedForMs: 0 }),
    "nothing for 5 s": world => decideWith(world, { now: world.facts.now + 5_000, pausedForMs: 0 }),
    "a shutdown request": world => decideWith(world, { shutdownRequested: true }),
};

function recordHeartbeat(world: World, version: number, afterMs: number): void {
    world.joining = recordConfirmation(world.joining, version, world.facts.now + afterMs);
    decideWith(world, { now: world.facts.now + afterMs, pausedForMs: 0 });
}

When(
    "it was paused for {int} ms and then receives {string}",
    function (this: World, ms: number, report: string) {
        decideWith(this, { now: this.facts.now + ms, pausedForMs: ms });
        const applyReport = reports[report];
        assert.ok(applyReport !== undefined);
        applyReport(this);
        decideWith(this, {});
    },
);
