import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    maxBackendServers,
    type Announcement,
    type DrainCommand,
    type Event,
    type FeedWriter,
    type HostDeparture,
    type ValueWriter,
} from "@tanagertray/core";
import { createBoard, type Board, type ClockState } from "@tanagertray/daemon/board";
import { createBackendServers } from "@tanagertray/daemon/controllers/backendServers";
import { resolveSettings } from "@tanagertray/daemon/settings/resolveSettings";
import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";

interface World {
    serverBoard?: Board;
    announcements: FeedWriter<Announcement | DrainCommand>;
    clock: ValueWriter<ClockState>;
    events: Event[];
    readDepartures: (departures: readonly HostDeparture[]) => void;
}

const boardOf = (world: World) => world.serverBoard as Board;

Given("a backend server board", function (this: World) {
    const endpoint = "127.0.0.1:0";
    const settings = resolveSettings({
        host: "h1",
        failureDomain: "d1",
        region: "r1",
        listen: { calls: endpoint, peer: endpoint, admin: endpoint },
        platform: { url: "http://127.0.0.1:9" },
        keys: { operator: [], backendServer: [], peer: [] },
    });
    const board = createBoard(settings, 0);
    this.serverBoard = board;
    this.announcements = board.claimFeed("announcements");
    this.clock = board.claimValue("clock");
    this.events = [];
    board.follow("backendServerEvents", event => this.events.push(event));
    createBackendServers(board);
});

After(function (this: Partial<World>) {
    this.serverBoard?.close();
});

function announcementOf(id: string, overrides: Partial<Announcement> = {}): Announcement {
    const address = "127.0.0.1:80";
    return { id, service: "s", address, incarnation: 1, counter: 1, state: "serving", ...overrides };
}

async function appendEntry(world: World, entry: unknown): Promise<void> {
    world.announcements.append(entry as Announcement);
    await setImmediate();
}

When("backend server {string} announces itself at 0 ms", async function (this: World, id: string) {
    await appendEntry(this, announcementOf(id));
});

When(
    "backend server {string} announces itself with counter {int} as {string}",
    async function (this: World, id: string, counter: number, state: Announcement["state"]) {
        await appendEntry(this, announcementOf(id, { counter, state }));
    },
);

When(
    "backend server {string} announces itself as {string} each second for {int} s",
    async function (this: World, id: string, state: Announcement["state"], seconds: number) {
        for (let second = 1; second <= seconds; second += 1) {
            assert.deepEqual(await knownServersAt(this, second * 1_000), [id]);
            await appendEntry(this, announcementOf(id, { counter: second + 1, state }));
        }
    },
);

When("backend server {string} restarts", async function (this: World, id: string) {
    await appendEntry(this, announcementOf(id, { incarnation: 2 }));
});

Given("the clock reads {int} ms", async function (this: World, now: number) {
    await knownServersAt(this, now);
});

When("backend server {string} restarts at {int} ms", async function (this: World, id: string, at: number) {
    await appendEntry(this, announcementOf(id, { incarnation: at }));
});

When("backend server {string} is drained by command", async function (this: World, id: string) {
    await appendEntry(this, { kind: "drain", id });
});

When("malformed backend server announcements arrive", async function (this: World) {
    await appendEntry(this, null);
    await appendEntry(this, {});
    await appendEntry(this, announcementOf("s1", { address: "elsewhere" }));
});

When("a later backend server has its address", async function (this: World) {
    await appendEntry(this, announcementOf("s2", { incarnation: 2 }));
});

When("the maximum number of others is known", async function (this: World) {
    for (let i = 0; i < maxBackendServers; i += 1) {
        await appendEntry(this, announcementOf(`other${i}`, { address: `127.0.0.1:${1_000 + i}` }));
    }
});

When("{int} backend servers announce themselves", async function (this: World, count: number) {
    for (let i = 0; i < count; i += 1) {
        await appendEntry(this, announcementOf(`s${i}`));
    }
});

async function knownServersAt(world: World, now: number, pausedForMs = 0): Promise<readonly string[]> {
    world.clock.write({ now, pausedForMs });
    await setImmediate();
    return [...boardOf(world).read("backendServers").keys()];
}

Then("backend servers {string} are known at {int} ms", async function (this: World, id: string, now: number) {
    assert.deepEqual(await knownServersAt(this, now), [id]);
});

Then("no backend servers are known at {int} ms", async function (this: World, now: number) {
    assert.deepEqual(await knownServersAt(this, now), []);
});

Then(
    "backend servers {string} are known at {int} ms after a pause of {int} ms",
    async function (this: World, id: string, now: number, pausedForMs: number) {
        assert.deepEqual(await knownServersAt(this, now, pausedForMs), [id]);
    },
);

Then(
    "no backend servers are known at {int} ms after a pause of {int} ms",
    async function (this: World, now: number, pausedForMs: number) {
        assert.deepEqual(await knownServersAt(this, now, pausedForMs), []);
    },
);

Given("the departures from before the start are not known yet", function (this: World) {
    const history = boardOf(this).claimValue("departureHistory");
    history.write({ isRead: false, departures: [], storedKeys: new Set() });
    this.readDepartures = departures => history.write({ isRead: true, departures, storedKeys: new Set() });
});

When("the departure of backend server {string} is read", async function (this: World, id: string) {
    this.readDepartures([{ id, incarnation: 1 }]);
    await setImmediate();
});

Then("backend server {string} is {string}", function (this: World, id: string, state: string) {
    assert.equal(boardOf(this).read("backendServers").get(id)?.state, state);
});

Then("the backend server events are {string}", async function (this: World, names: string) {
    await setImmediate();
    const eventNames = this.events.map(event => event.name.replace("backendServer.", ""));
    assert.equal(eventNames.join(", "), names);
});

Then(
    "{int} backend servers are known and {int} were reported as too many",
    function (this: World, known: number, refused: number) {
        assert.equal(boardOf(this).read("backendServers").size, known);
        const tooMany = this.events.filter(event => event.name === "backendServer.tooMany");
        assert.equal(tooMany.length, refused);
    },
);
