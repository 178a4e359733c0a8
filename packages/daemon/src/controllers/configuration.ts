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

/** Prefix of the ids of object reads, followed by the hash. */
const readIdPrefix = "object-";

/** Carries inputs from the blackboard to the distribution state machine, and its effects back. */
export function createConfigurationController(board: Board): Closeable {
    const configuration = board.claimValue("configuration");
    const outbox = board.claimFeed("configurationOutbox");
    const reads = board.claimFeed("objectReads");
    const events = board.claimFeed("configurationEvents");
    const { spread, region, platform } = board.read("settings");
    const { patienceMs } = platform;
    let state = createDistribution({ spread, region, patienceMs, interest: readInterest(board) });

    function take(input: DistributionInput): void {
        const before = state;
        const progress = advanceDistribution(before, input, {
            now: board.read("clock").now,
            random: Math.random,
        });
        state = progress.state;
        writeChange(before);
        carryOut(progress.effects);
    }

    /** Written before the messages, so that no peer hears of a version that is not yet in force here. */
    function writeChange(before: Distribution): void {
        const { held, rejected, rejectedHashes } = state;
        if (held !== before.held || rejected !== before.rejected) {
            configuration.write({ held, rejectedHashes, ...(rejected === undefined ? {} : { rejected }) });
        }
    }

    function carryOut(effects: Effects): void {
        effects.messages.forEach(message => outbox.append(message));
        effects.events.forEach(event => events.append(event));
        for (const hash of effects.reads) {
            const request = { operation: PlatformOperation.ReadObject, hash } as const;
            reads.append({ id: `${readIdPrefix}${hash}`, request });
        }
    }

    function takeReply({ id, result }: PlatformReply): void {
        if (!id.startsWith(readIdPrefix)) {
            return;
        }
        const hash = id.slice(readIdPrefix.length);
        if (result.answer === PlatformAnswer.Object) {
            const { bytes, related = new Map() } = result;
            return take({ kind: InputKind.StoredObject, hash, bytes, related });
        }
        const fields = { hash, answer: result.answer };
        events.append({ name: "configuration.objectUnavailable", level: EventLevel.Warn, fields });
        take({ kind: InputKind.StoredObject, hash });
    }

    function takeInterest(): void {
        const interest = readInterest(board);
        if (!equalInterests(interest, state.interest)) {
            take({ kind: InputKind.Interest, interest });
        }
    }

    const subscriptions = [
        board.observe(["platformState"], () => {
            const { head } = board.read("platformState");
            if (head !== undefined) {
                take({ kind: InputKind.Head, head });
            }
        }),
        board.follow("platformReplies", takeReply),
        board.follow("peerInbox", incoming => take({ kind: InputKind.Message, incoming })),
        board.observe(["peerLinks"], () => take({ kind: InputKind.Links, links: board.read("peerLinks") })),
        board.observe(["backendServers"], takeInterest),
        board.observe(["readiness"], () => {
            const { floor } = board.read("readiness");
            if (floor !== state.floor) {
                take({ kind: InputKind.Floor, floor });
            }
        }),
        board.observe(["clock"], () => take({ kind: InputKind.Tick })),
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
