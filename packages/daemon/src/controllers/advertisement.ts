import {
    computeOffers,
    HostState,
    publishedDepartures,
    ResourceKind,
    resourceName,
    type Advertisement,
    type Service,
    type ServiceOffer,
} from "@tanagertray/core";
import type { Board } from "../board.js";

/** What this host publishes of itself now. */
export function createAdvertisement(board: Board): Advertisement {
    const { rejected } = board.read("configuration");
    const leaving = board.read("shutdown").requested;
    const departures = publishedDepartures(board.read("departures"));
    return {
        state: leaving ? HostState.Left : HostState.Alive,
        offers: leaving ? [] : ownOffers(board),
        version: heldVersion(board),
        ...(departures.length === 0 ? {} : { departures }),
        ...(rejected === undefined ? {} : { rejected }),
    };
}

/** Services of this host's backend servers that take work. */
export function ownOffers(board: Board): ServiceOffer[] {
    const resources = board.read("configuration").held?.resources;
    return computeOffers(board.read("backendServers").values(), service => {
        const name = resourceName(ResourceKind.Service, service);
        return (resources?.get(name) as Service | undefined)?.slots;
    });
}

export function heldVersion(board: Board): number {
    return board.read("configuration").held?.manifest.version ?? 0;
}
