import {
    decideReadiness,
    EventLevel,
    hostsToAsk,
    MessageKind,
    recordPeerVersion,
    recordWatermark,
    servableVersion,
    startJoining,
    type IncomingMessage,
    type JoinProgress,
    type PeerMessage,
    type ReadinessFacts,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";
import { currentVersion } from "./advertisement.js";
import { peerDeparturesOf } from "./peerDepartures.js";

type MessageOf<K> = Extract<PeerMessage, { kind: K }>;
type Handler<M> = (from: string, message: M, receivedAt: number) => void;

/** Decides whether this host accepts calls, and answers the watermark requests of joining peers. */
export function createReadiness(board: Board): Closeable {
    const readiness = board.claimValue("readiness");
    const outbox = board.claimFeed("joiningOutbox");
    const events = board.claimFeed("readinessEvents");
    const self = board.read("settings").host;
    let joining = startJoining(board.read("clock").now);

    const handlers: { [K in PeerMessage["kind"]]?: Handler<MessageOf<K>> } = {
        [MessageKind.WatermarkRequest]: (from, { host }) => answerWatermarkRequest(from, host),
        [MessageKind.Watermark]: (from, message, receivedAt) => {
            if (message.host === self) {
                joining = recordWatermark(joining, from, message, receivedAt);
                updateReadiness();
            }
        },
        [MessageKind.Heartbeat]: (_from, { version }, receivedAt) => handleVersion(version, receivedAt),
        [MessageKind.Announce]: (_from, { version }, receivedAt) => handleVersion(version, receivedAt),
    };

    function handleVersion(version: number, receivedAt: number): void {
        joining = recordPeerVersion(joining, version, receivedAt);
        updateReadiness();
    }

    function answerWatermarkRequest(from: string, host: string): void {
        const { records, watermarks } = board.read("membership");
        const message = {
            kind: MessageKind.Watermark,
            host,
            version: watermarks.get(host) ?? 0,
            incarnation: records.get(host)?.incarnation ?? 0,
            ...peerDeparturesOf(board, host),
            held: currentVersion(board),
        };
        outbox.append({ to: { host: from }, message });
    }

    function handleMessage({ from, receivedAt, message }: IncomingMessage): void {
        (handlers[message.kind] as Handler<PeerMessage> | undefined)?.(from, message, receivedAt);
    }

    function updateReadiness(): void {
        const facts = readFacts(board);
        const before = joining.readiness;
        const requests = hostsToAsk(decideReadiness(joining, facts), facts);
        joining = requests.joining;
        const message = { kind: MessageKind.WatermarkRequest, host: self };
        requests.hosts.forEach(host => outbox.append({ to: { host }, message }));
        if (joining.readiness !== before) {
            readiness.write(joining.readiness);
            reportChange(before, joining);
        }
    }

    function reportChange(before: JoinProgress["readiness"], after: JoinProgress): void {
        const { state, reason, floor } = after.readiness;
        if (state !== before.state || reason !== before.reason) {
            const fields = { before: before.state, state, reason, floor, held: currentVersion(board) };
            events.append({ name: "readiness.changed", level: EventLevel.Info, fields });
        }
    }

    const subscriptions = [
        board.observe(["clock", "configuration", "platformState", "peerLinks", "shutdown"], updateReadiness),
        board.follow("peerInbox", handleMessage),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function readFacts(board: Board): ReadinessFacts {
    const { now, pausedForMs } = board.read("clock");
    const { head, headAskedAt, reachable } = board.read("platformState");
    const { rejectedHashes = [] } = board.read("configuration");
    return {
        now,
        pausedForMs,
        held: currentVersion(board),
        head: head === undefined ? undefined : servableVersion(head, rejectedHashes),
        headAskedAt,
        reachable,
        expectsPeers: expectsPeers(board),
        linkedHosts: [...board.read("peerLinks").keys()],
        shutdownRequested: board.read("shutdown").requested,
    };
}

/** Assumes peers until the domain rows are read, because only then can a host know that it has none. */
function expectsPeers(board: Board): boolean {
    const { records, self } = board.read("membership");
    const addresses = board.read("domainAddresses");
    const listedAddresses = [...(addresses?.values() ?? [])].flat();
    return (
        addresses === undefined ||
        board.read("settings").peers.length > 0 ||
        records.size > 0 ||
        listedAddresses.some(address => address !== self.peerAddress)
    );
}
