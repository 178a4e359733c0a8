import { MessageKind, recentPeerDepartures, type HostRecord, type Watermark } from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Remembers the departures that other hosts published, so that a host can ask for its own after a restart. */
export function createDepartureMemory(board: Board): Closeable {
    const section = board.claimValue("rememberedDepartures");

    function remember(records: readonly HostRecord[]): void {
        const published = records.filter(({ departures }) => departures !== undefined);
        if (published.length > 0) {
            const heardAt = board.read("clock").now;
            section.update(
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

    function forgetOld(): void {
        const remembered = board.read("rememberedDepartures");
        const recent = recentPeerDepartures(remembered, board.read("clock").now);
        if (recent !== remembered) {
            section.write(recent);
        }
    }

    const subscriptions = [
        board.follow("peerInbox", ({ message }) => {
            if (message.kind === MessageKind.Records) {
                remember(message.records);
            }
        }),
        board.observe(["clock"], forgetOld),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

/** What is told a host of its own departures. */
export function rememberedOf(board: Board, host: string): Pick<Watermark, "departures"> {
    const remembered = board.read("rememberedDepartures").get(host);
    return remembered === undefined ? {} : { departures: remembered.departures };
}
