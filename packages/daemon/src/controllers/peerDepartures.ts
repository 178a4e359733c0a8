import { MessageKind, recentPeerDepartures, type HostRecord, type Watermark } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Stores the departures that other hosts published, so that a restarted host can ask for its own. */
export function createPeerDepartures(board: Board): Closeable {
    const peerDepartures = board.claimValue("peerDepartures");

    function storeDepartures(records: readonly HostRecord[]): void {
        const published = records.filter(({ departures }) => departures !== undefined);
        if (published.length > 0) {
            const heardAt = board.read("clock").now;
            peerDepartures.update(
                before =>
                    new Map([
                        ...before,
                        ...published.map(
                            ({ host, departures = [] }) => [host, { departures, heardAt }] as const,
                        ),
                    ]),
            );
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

/** Departures published by a host, as sent back to it after its restart. */
export function peerDeparturesOf(board: Board, host: string): Pick<Watermark, "departures"> {
    const stored = board.read("peerDepartures").get(host);
    return stored === undefined ? {} : { departures: stored.departures };
}
