import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    HostState,
    MessageKind,
    type FeedWriter,
    type HostDeparture,
    type IncomingMessage,
    type PeerMessage,
} from "@tanagertray/core";
import { createBoard, resolveSettings, type Board, type Closeable } from "@tanagertray/daemon";
import { createMembership } from "@tanagertray/daemon/controllers/membership";
import { createPeerDepartures } from "@tanagertray/daemon/controllers/peerDepartures";
import { createReadiness } from "@tanagertray/daemon/controllers/readiness";
import assert from "node:assert/strict";

interface World {
    peer?: {
        readonly board: Board;
        readonly inbox: FeedWriter<IncomingMessage>;
        readonly controllers: readonly Closeable[];
        readonly answers: PeerMessage[];
        readonly setClock: (now: number) => void;
    };
}

interface RecordOptions {
    readonly counter: number;
    readonly departures: readonly HostDeparture[];
    /** @default 1 */
    readonly incarnation?: number;
}

const start = 1_000_000;
const incarnation = 7;
const laterIncarnation = 8;

const peerOf = ({ peer }: World) => {
    assert.ok(peer, "no daemon");
    return peer;
};
/** Controllers run in microtasks. */
const settle = () => new Promise(resolve => setImmediate(resolve));
const departuresOf = (ids: string): HostDeparture[] =>
    ids === "" ? [] : ids.split(", ").map(id => ({ id, incarnation }));

Given("a daemon that knows the departures of other hosts", function (this: World) {
    const settings = resolveSettings({
        host: "a1",
        failureDomain: "a",
        region: "r",
        listen: { calls: "127.0.0.1:1", peer: "127.0.0.1:2", admin: "127.0.0.1:3" },
        platform: { url: "http://127.0.0.1:1" },
        trustedNetwork: true,
    });
    const board = createBoard(settings, start);
    const clock = board.claimValue("clock");
    const answers: PeerMessage[] = [];
    (["joiningOutbox", "membershipOutbox"] as const).forEach(feed =>
        board.follow(feed, ({ message }) => {
            if (message.kind === MessageKind.Watermark) {
                answers.push(message);
            }
        }),
    );
    this.peer = {
        board,
        inbox: board.claimFeed("peerInbox"),
        controllers: [
            createPeerDepartures(board),
            createMembership(board, { random: () => 0 }),
            createReadiness(board),
        ],
        answers,
        setClock: now => clock.write({ now, pausedForMs: 0 }),
    };
});

After(function (this: World) {
    this.peer?.controllers.forEach(controller => controller.close());
    this.peer?.board.close();
});

async function read(world: World, message: PeerMessage): Promise<void> {
    const { board, inbox, setClock } = peerOf(world);
    const { now } = board.read("clock");
    inbox.append({ from: "h1", receivedAt: now, message });
    await settle();
    // Records are merged at the next tick.
    setClock(now + 1);
    await settle();
}

function readRecord(world: World, { counter, departures, incarnation = 1 }: RecordOptions): Promise<void> {
    const record = {
        host: "h1",
        failureDomain: "a",
        region: "r",
        incarnation,
        counter,
        state: HostState.Alive,
        peerAddress: "127.0.0.1:9",
        offers: [],
        version: 1,
        ...(departures.length === 0 ? {} : { departures }),
    };
    return read(world, { kind: MessageKind.Records, records: [record] });
}

When(
    "it reads record {int} of {string} with the departures {string}",
    async function (this: World, counter: number, _host: string, ids: string) {
        await readRecord(this, { counter, departures: departuresOf(ids) });
    },
);

When(
    "it reads record {int} of a later incarnation of {string} with the departures {string}",
    async function (this: World, counter: number, _host: string, ids: string) {
        await readRecord(this, { counter, departures: departuresOf(ids), incarnation: 2 });
    },
);

When(
    "it reads record {int} of {string} with a later departure of {string}",
    async function (this: World, counter: number, _host: string, id: string) {
        await readRecord(this, { counter, departures: [{ id, incarnation: laterIncarnation }] });
    },
);

When(
    "it reads {int} records of {string} with a departure of one more backend server each",
    async function (this: World, count: number, _host: string) {
        for (let counter = 1; counter <= count; counter += 1) {
            await readRecord(this, { counter, departures: departuresOf(`s${counter}`) });
        }
    },
);

When("the clock advances by {int} s", async function (this: World, seconds: number) {
    const { board, setClock } = peerOf(this);
    setClock(board.read("clock").now + seconds * 1_000);
    await settle();
});

/** Departures in the answers to a request of the host, of which all have to agree. */
async function askFor(world: World, host: string): Promise<readonly HostDeparture[]> {
    const { answers } = peerOf(world);
    answers.length = 0;
    await read(world, { kind: MessageKind.WatermarkRequest, host });
    const [first, ...others] = answers.map(message => ("departures" in message && message.departures) || []);
    others.forEach(other => assert.deepEqual(other, first));
    assert.ok(first, "no answer");
    return first;
}

const sortedIds = (departures: readonly HostDeparture[]) =>
    departures
        .map(({ id }) => id)
        .sort()
        .join(", ");

Then("it tells {string} of the departures {string}", async function (this: World, host: string, ids: string) {
    assert.equal(sortedIds(await askFor(this, host)), ids);
});

Then(
    "it tells {string} of the later departure of {string} only",
    async function (this: World, host: string, id: string) {
        assert.deepEqual(await askFor(this, host), [{ id, incarnation: laterIncarnation }]);
    },
);

Then(
    "it tells {string} of {int} departures, the latest among them",
    async function (this: World, host: string, count: number) {
        const departures = await askFor(this, host);
        assert.equal(departures.length, count);
        assert.ok(departures.some(({ id }) => id === "s400"));
    },
);
