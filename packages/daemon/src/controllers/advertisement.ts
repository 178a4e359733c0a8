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

/** Builds the advertised part of this host's record from the current state of the blackboard. */
export function createAdvertisement(board: Board): Advertisement {
    const { rejected } = board.read("configuration");
    const shuttingDown = board.read("shutdown").requested;
    const departures = publishedDepartures(board.read("departures"));
    return {
        state: shuttingDown ? HostState.Left : HostState.Alive,
        offers: shuttingDown ? [] : ownOffers(board),
        version: currentVersion(board),
        ...(departures.length === 0 ? {} : { departures }),
        ...(rejected === undefined ? {} : { rejected }),
    };
}

/** Offers of this host: the services of its backend servers that accept calls. */
export function ownOffers(board: Board): ServiceOffer[] {
    const resources = board.read("configuration").held?.resources;
    return computeOffers(board.read("backendServers").values(), service => {
        const name = resourceName(ResourceKind.Service, service);
        return (resources?.get(name) as Service | undefined)?.slots;
    });
}

/** Version of the configuration in force on this host, or 0 when it has none yet. */
export function currentVersion(board: Board): number {
    return board.read("configuration").held?.manifest.version ?? 0;
}
