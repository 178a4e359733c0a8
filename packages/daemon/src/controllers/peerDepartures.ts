import {
    mergePeerDepartures,
    MessageKind,
    recentPeerDepartures,
    type HostRecord,
    type Watermark,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Stores the departures that other hosts published, so that a restarted host can ask for its own. */
export function createPeerDepartures(board: Board): Closeable {
    const peerDepartures = board.claimValue("peerDepartures");

    function storeDepartures(records: readonly HostRecord[]): void {
        const published = records.filter(({ departures }) => departures !== undefined);
        if (published.length > 0) {
            const { now } = board.read("clock");
            peerDepartures.update(before => {
                const stored = new Map(before);
                published.forEach(({ host, departures = [] }) =>
                    stored.set(host, mergePeerDepartures(stored.get(host) ?? [], departures, now)),
                );
                return stored;
            });
        }
    }

    function removeExpired(): void {
        const stored = board.read("peerDepartures");
        const recent = recentPeerDepartures(stored, board.read("clock").now);
        if (recent !== stored) {
            peerDepartures.write(recent);
        }
    }

    const subscriptions = [
        board.follow("peerInbox", ({ message }) => {
            if (message.kind === MessageKind.Records) {
                storeDepartures(message.records);
            }
        }),
        board.observe(["clock"], removeExpired),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

/**
 * Departures published by a host, as sent back to it after its restart: the recent ones, and those in its latest record,
 * which it does not publish again while they last.
 */
export function peerDeparturesOf(board: Board, host: string): Pick<Watermark, "departures"> {
    const { now } = board.read("clock");
    const recent = board.read("peerDepartures").get(host) ?? [];
    const lasting = board.read("membership").records.get(host)?.departures ?? [];
    const departures = mergePeerDepartures(recent, lasting, now).map(({ id, incarnation }) => ({
        id,
        incarnation,
    }));
    return departures.length === 0 ? {} : { departures };
}
