import {
    advanceDistribution,
    createDistribution,
    EventLevel,
    InputKind,
    PlatformAnswer,
    PlatformOperation,
    type Distribution,
    type DistributionInput,
    type Effects,
    type Interest,
    type PlatformReply,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Prefix of the request ids of object reads; the hash follows. */
const readIdPrefix = "object-";

/** Feeds the distribution state machine from the blackboard, and writes its effects back. */
export function createConfigurationController(board: Board): Closeable {
    const configuration = board.claimValue("configuration");
    const outbox = board.claimFeed("configurationOutbox");
    const objectReads = board.claimFeed("objectReads");
    const events = board.claimFeed("configurationEvents");
    const { spread, region, platform } = board.read("settings");
    const { patienceMs } = platform;
    let state = createDistribution({ spread, region, patienceMs, interest: readInterest(board) });

    function advance(input: DistributionInput): void {
        const before = state;
        const progress = advanceDistribution(before, input, {
            now: board.read("clock").now,
            random: Math.random,
        });
        state = progress.state;
        writeIfChanged(before);
        applyEffects(progress.effects);
    }

    /** Runs before messages are sent, so that no peer learns of a version that is not yet in force on this host. */
    function writeIfChanged(before: Distribution): void {
        const { held, rejected, rejectedHashes } = state;
        if (held !== before.held || rejected !== before.rejected) {
            configuration.write({ held, rejectedHashes, ...(rejected === undefined ? {} : { rejected }) });
        }
    }

    function applyEffects(effects: Effects): void {
        effects.messages.forEach(message => outbox.append(message));
        effects.events.forEach(event => events.append(event));
        for (const hash of effects.reads) {
            const request = { operation: PlatformOperation.ReadObject, hash } as const;
            objectReads.append({ id: `${readIdPrefix}${hash}`, request });
        }
    }

    function handleReply({ id, result }: PlatformReply): void {
        if (!id.startsWith(readIdPrefix)) {
            return;
        }
        const hash = id.slice(readIdPrefix.length);
        if (result.answer === PlatformAnswer.Object) {
            const { bytes, related = new Map() } = result;
            return advance({ kind: InputKind.StoredObject, hash, bytes, related });
        }
        const fields = { hash, answer: result.answer };
        events.append({ name: "configuration.objectUnavailable", level: EventLevel.Warn, fields });
        advance({ kind: InputKind.StoredObject, hash });
    }

    function updateInterest(): void {
        const interest = readInterest(board);
        if (!equalInterests(interest, state.interest)) {
            advance({ kind: InputKind.Interest, interest });
        }
    }

    const subscriptions = [
        board.observe(["platformState"], () => {
            const { head } = board.read("platformState");
            if (head !== undefined) {
                advance({ kind: InputKind.Head, head });
            }
        }),
        board.follow("platformReplies", handleReply),
        board.follow("peerInbox", incoming => advance({ kind: InputKind.Message, incoming })),
        board.observe(["peerLinks"], () =>
            advance({ kind: InputKind.Links, links: board.read("peerLinks") }),
        ),
        board.observe(["backendServers"], updateInterest),
        board.observe(["readiness"], () => {
            const { floor } = board.read("readiness");
            if (floor !== state.floor) {
                advance({ kind: InputKind.Floor, floor });
            }
        }),
        board.observe(["clock"], () => advance({ kind: InputKind.Tick })),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function readInterest(board: Board): Interest {
    const services = [...board.read("backendServers").values()].map(server => server.service);
    return { services: [...new Set(services)].sort(), outsideCallers: board.read("settings").outsideCallers };
}

function equalInterests(a: Interest, b: Interest): boolean {
    return a.outsideCallers === b.outsideCallers && a.services.join("\n") === b.services.join("\n");
}
