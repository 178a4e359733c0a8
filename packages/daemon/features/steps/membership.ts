import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    BackendServerState,
    HostState,
    MessageKind,
    PlatformAnswer,
    PlatformOperation,
    type HostRecord,
    type PlatformCommand,
} from "@tanagertray/core";
import { createDomainRow } from "@tanagertray/daemon/controllers/domainRow";
import assert from "node:assert/strict";
import { runFor, runUntil, startTestDaemon, type TestDaemon } from "./testDaemon.js";

interface World {
    membershipDaemons?: Map<string, TestDaemon>;
    commands: PlatformCommand[];
}

After(async function (this: World) {
    await Promise.all([...(this.membershipDaemons?.values() ?? [])].map(daemon => daemon.close()));
});

function daemonOf(world: World, host: string): TestDaemon {
    const daemon = world.membershipDaemons?.get(host);
    assert.ok(daemon, `no daemon ${host}`);
    return daemon;
}

function allDaemons(world: World): TestDaemon[] {
    return [...(world.membershipDaemons?.values() ?? [])];
}

function recordSeenBy(world: World, observer: string, host: string): HostRecord | undefined {
    return daemonOf(world, observer).board.read("membership").records.get(host);
}

Given(
    "three membership daemons {string}, {string} and {string} where {string} knows only {string} and {string} only {string}",
    async function (
        this: World,
        one: string,
        two: string,
        three: string,
        _first: string,
        _firstPeer: string,
        _last: string,
        _lastPeer: string,
    ) {
        const middle = await startTestDaemon({ host: two, membership: true });
        const peers = [middle.address];
        const first = await startTestDaemon({ host: one, membership: true, peers });
        const last = await startTestDaemon({ host: three, membership: true, peers });
        this.membershipDaemons = new Map([first, middle, last].map(daemon => [daemon.host, daemon]));
    },
);

When("the membership daemons have run until all know each other", async function (this: World) {
    const daemons = allDaemons(this);
    await runUntil(daemons, 8_000, () =>
        daemons.every(
            ({ board }) => board.read("membership").records.size === 2 && board.read("peerLinks").size === 2,
        ),
    );
});

When(
    "a backend server of {string} announces itself to {string}",
    function (this: World, service: string, host: string) {
        const { board } = daemonOf(this, host);
        const server = {
            id: "s1",
            service,
            address: "127.0.0.1:2",
            incarnation: 5,
            counter: 1,
            state: BackendServerState.Serving,
            slots: 12,
            announcedAt: 0,
            firstSeenAt: 0,
        };
        const draining = { ...server, id: "s2", state: BackendServerState.Draining };
        const servers = new Map([server, draining].map(entry => [entry.id, entry]));
        board.claimValue("backendServers").write(servers);
    },
);

Then(
    "{string} learns that {string} offers {string} with {int} slots",
    async function (this: World, at: string, of: string, service: string, slots: number) {
        await runUntil(allDaemons(this), 1_000, () => (recordSeenBy(this, at, of)?.offers.length ?? 0) > 0);
        assert.deepEqual(recordSeenBy(this, at, of)?.offers, [{ service, slots, startedAt: 5 }]);
    },
);

When("the membership daemon {string} is killed", async function (this: World, host: string) {
    await daemonOf(this, host).close();
    this.membershipDaemons?.delete(host);
});

When("the membership daemon {string} is asked to shut down", function (this: World, host: string) {
    daemonOf(this, host)
        .board.claimValue("shutdown")
        .write({ requested: true, acceptsCallsUntil: 0, abortsCallsAt: 0 });
});

Then(
    "{string} and {string} consider {string} failed within {int} s",
    async function (this: World, one: string, two: string, of: string, seconds: number) {
        await runUntil(allDaemons(this), seconds * 1_000, () =>
            [one, two].every(at => recordSeenBy(this, at, of)?.state === HostState.Failed),
        );
    },
);

Then(
    "{string} and {string} consider {string} left within {int} s",
    async function (this: World, one: string, two: string, of: string, seconds: number) {
        await runUntil(allDaemons(this), seconds * 1_000, () =>
            [one, two].every(at => recordSeenBy(this, at, of)?.state === HostState.Left),
        );
    },
);

const laterIncarnation = 2_000_000;

When(
    "{string} receives a record of a later incarnation of {string}",
    function (this: World, at: string, of: string) {
        const known = recordSeenBy(this, at, of) as HostRecord;
        const record = { ...known, incarnation: laterIncarnation };
        const { board } = daemonOf(this, at);
        board.claimFeed("joiningOutbox").append({
            to: { host: of },
            message: { kind: MessageKind.Records, records: [record] },
        });
    },
);

When(
    "the process of {string} is paused for {int} s",
    async function (this: World, host: string, seconds: number) {
        // Part of the suspicion timeout has elapsed when the pause begins.
        await runFor(allDaemons(this), 500);
        daemonOf(this, host).pause(seconds * 1_000);
    },
);

Then(
    "{string} still has its links and suspects nobody during the next {int} s",
    async function (this: World, host: string, seconds: number) {
        const { board, events } = daemonOf(this, host);
        await runFor(allDaemons(this), seconds * 1_000);
        assert.equal(board.read("peerLinks").size, 2);
        const unlinked = events.filter(({ name }) => name === "peer.silent");
        assert.deepEqual(unlinked, []);
        for (const record of board.read("membership").records.values()) {
            assert.deepEqual([record.state, record.counter], [HostState.Alive, 0], record.host);
        }
    },
);

Then(
    "{string} takes the next incarnation, and {string} learns of it",
    async function (this: World, host: string, at: string) {
        const expected = laterIncarnation + 1;
        await runUntil(allDaemons(this), 2_000, () => recordSeenBy(this, at, host)?.incarnation === expected);
        assert.equal(daemonOf(this, host).board.read("membership").self.incarnation, expected);
    },
);

Given(
    "a membership daemon {string} without peers and a simulated platform",
    async function (this: World, host) {
        const daemon = await startTestDaemon({ host: String(host), membership: true });
        this.membershipDaemons = new Map([[daemon.host, daemon]]);
        this.commands = [];
        const { board } = daemon;
        const replies = board.claimFeed("platformReplies");
        let row: unknown;
        const answers = {
            [PlatformOperation.ListRows]: () => ({
                answer: PlatformAnswer.Rows,
                rows: row === undefined ? [] : [{ key: "domain/a", row, tag: "t1" }],
            }),
            [PlatformOperation.WriteRow]: ({ request }: PlatformCommand) => {
                row = Reflect.get(request, "row");
                return { answer: PlatformAnswer.Written, tag: "t1" } as const;
            },
        };
        board.follow("domainRowIo", command => {
            this.commands.push(command);
            const answer = answers[command.request.operation as keyof typeof answers];
            replies.append({ id: command.id, result: answer(command) });
        });
        createDomainRow(board, { random: () => 0 });
    },
);

When(
    "{int} s of simulated time pass on a platform that starts without a domain row",
    async function (this: World, seconds: number) {
        await runFor(allDaemons(this), seconds * 1_000);
    },
);

Then("the domain row was written once, on condition that it does not exist", function (this: World) {
    const [daemon] = allDaemons(this);
    const requests = this.commands.map(({ request }) => request);
    const writes = requests.filter(({ operation }) => operation === PlatformOperation.WriteRow);
    const row = { addresses: [daemon?.address] };
    assert.deepEqual(writes, [{ operation: PlatformOperation.WriteRow, key: "domain/a", row }]);
    const reads = requests.filter(({ operation }) => operation === PlatformOperation.ListRows);
    assert.ok(reads.length >= 3 && reads.length <= 4, `${reads.length} reads in 30 s`);
    assert.deepEqual(daemon?.board.read("domainAddresses")?.get("a"), row.addresses);
});
