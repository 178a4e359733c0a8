import {
    decideReadiness,
    EventLevel,
    hostsToAsk,
    servableVersion,
    MessageKind,
    startJoining,
    recordPeerVersion,
    recordWatermark,
    type IncomingMessage,
    type JoinProgress,
    type PeerMessage,
    type ReadinessFacts,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { heldVersion } from "./advertisement.js";
import { rememberedOf } from "./departureMemory.js";

type MessageOf<K> = Extract<PeerMessage, { kind: K }>;
type Handler<M> = (from: string, message: M, receivedAt: number) => void;

/** Decides whether this host admits calls, and answers peers that join. */
export function createReadiness(board: Board): Closeable {
    const readiness = board.claimValue("readiness");
    const outbox = board.claimFeed("joiningOutbox");
    const events = board.claimFeed("readinessEvents");
    const self = board.read("settings").host;
    let joining = startJoining(board.read("clock").now);

    const handlers: { [K in PeerMessage["kind"]]?: Handler<MessageOf<K>> } = {
        [MessageKind.WatermarkRequest]: (from, { host }) => answerRequest(from, host),
        [MessageKind.Watermark]: (from, message, receivedAt) => {
            if (message.host === self) {
                joining = recordWatermark(joining, from, message, receivedAt);
                decide();
            }
        },
        [MessageKind.Heartbeat]: (_from, { version }, receivedAt) => takeVersion(version, receivedAt),
        [MessageKind.Announce]: (_from, { version }, receivedAt) => takeVersion(version, receivedAt),
    };

    function takeVersion(version: number, receivedAt: number): void {
        joining = recordPeerVersion(joining, version, receivedAt);
        decide();
    }

    function answerRequest(from: string, host: string): void {
        const { records, watermarks } = board.read("membership");
        const message = {
            kind: MessageKind.Watermark,
            host,
            version: watermarks.get(host) ?? 0,
            incarnation: records.get(host)?.incarnation ?? 0,
            ...rememberedOf(board, host),
            held: heldVersion(board),
        };
        outbox.append({ to: { host: from }, message });
    }

    function takeMessage({ from, receivedAt, message }: IncomingMessage): void {
        (handlers[message.kind] as Handler<PeerMessage> | undefined)?.(from, message, receivedAt);
    }

    function decide(): void {
        const facts = readFacts(board);
        const before = joining.readiness;
        const asked = hostsToAsk(decideReadiness(joining, facts), facts);
        joining = asked.joining;
        const message = { kind: MessageKind.WatermarkRequest, host: self };
        asked.hosts.forEach(host => outbox.append({ to: { host }, message }));
        if (joining.readiness !== before) {
            readiness.write(joining.readiness);
            noteChange(before, joining);
        }
    }

    function noteChange(before: JoinProgress["readiness"], after: JoinProgress): void {
        const { state, reason, floor } = after.readiness;
        if (state !== before.state || reason !== before.reason) {
            const fields = { before: before.state, state, reason, floor, held: heldVersion(board) };
            events.append({ name: "readiness.changed", level: EventLevel.Info, fields });
        }
    }

    const subscriptions = [
        board.observe(["clock", "configuration", "platformState", "peerLinks", "shutdown"], decide),
        board.follow("peerInbox", takeMessage),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function readFacts(board: Board): ReadinessFacts {
    const { now, pausedForMs } = board.read("clock");
    const { head, headReadAt, reachable } = board.read("platformState");
    const { rejectedHashes = [] } = board.read("configuration");
    return {
        now,
        pausedForMs,
        held: heldVersion(board),
        head: head === undefined ? undefined : servableVersion(head, rejectedHashes),
        headReadAt,
        reachable,
        expectsPeers: expectsPeers(board),
        linkedHosts: [...board.read("peerLinks").keys()],
        shutdownRequested: board.read("shutdown").requested,
    };
}

/** A host that has not read the rows yet cannot know that it is alone. */
function expectsPeers(board: Board): boolean {
    const { records, self } = board.read("membership");
    const addresses = board.read("domainAddresses");
    const listed = [...(addresses?.values() ?? [])].flat();
    return (
        addresses === undefined ||
        board.read("settings").peers.length > 0 ||
        records.size > 0 ||
        listed.some(address => address !== self.peerAddress)
    );
}
