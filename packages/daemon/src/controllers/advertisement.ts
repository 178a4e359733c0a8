import {
    computeOffers,
    HostState,
    ResourceKind,
    resourceName,
    type Service,
    type Statement,
} from "@tanagertray/core";
import type { Board } from "../board.js";

/** What this host has to say of itself now. */
export function createStatement(board: Board): Statement {
    const { held, rejected } = board.read("configuration");
    const slotsOf = (service: string) => {
        const name = resourceName(ResourceKind.Service, service);
        return (held?.resources.get(name) as Service | undefined)?.slots;
    };
    const leaving = board.read("shutdown").requested;
    return {
        state: leaving ? HostState.Left : HostState.Alive,
        offers: leaving ? [] : computeOffers(board.read("backendServers").values(), slotsOf),
        version: heldVersion(board),
        ...(rejected === undefined ? {} : { rejected }),
    };
}

export function heldVersion(board: Board): number {
    return board.read("configuration").held?.manifest.version ?? 0;
}
