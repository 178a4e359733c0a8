import {
    BackendServerState,
    EventLevel,
    isLeaving,
    type BackendServer,
    type DrainCommand,
    type Event,
    type HostDeparture,
    type ValueWriter,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { DepartureStore } from "./departureStore.js";

/** Starts to drain backend servers of this host, used by the backend server controller. */
export interface ServerDraining {
    /** Drains a backend server that has left, or whose operator asked for it. */
    start(command: DrainCommand): void;
    /** Restores a departure that this host acknowledged before its restart, as returned by a peer or the platform. */
    restore(departure: HostDeparture): void;
}

interface ServerDrainingOptions {
    readonly servers: ValueWriter<ReadonlyMap<string, BackendServer>>;
    readonly departures: DepartureStore;
    readonly reporters: EventReporters;
}

export function createServerDraining(
    board: Board,
    { servers, departures, reporters }: ServerDrainingOptions,
): ServerDraining {
    function startDraining(known: BackendServer, drainingSince: number): void {
        const server = { ...known, state: BackendServerState.Draining, drainingSince };
        servers.update(current => new Map(current).set(known.id, server));
        reporters.reportChange(server, known);
    }

    return {
        start({ id }) {
            const known = board.read("backendServers").get(id);
            if (known === undefined) {
                // Its announcements may still arrive, for example after a restart of this daemon.
                departures.record(id, { since: board.read("clock").now, incarnation: undefined });
                return reporters.warn("backendServer.unknown", { id });
            }
            const drainingSince = known.drainingSince ?? board.read("clock").now;
            departures.record(id, { since: drainingSince, incarnation: known.incarnation });
            startDraining(known, drainingSince);
        },
        restore({ id, incarnation }) {
            const { now } = board.read("clock");
            if (isLeaving(departures.get(id), { incarnation })) {
                return;
            }
            departures.record(id, { since: now, incarnation });
            reporters.inform("backendServer.departureRestored", { id, incarnation });
            const known = board.read("backendServers").get(id);
            if (
                known !== undefined &&
                known.drainingSince === undefined &&
                known.incarnation <= incarnation
            ) {
                startDraining(known, now);
            }
        },
    };
}

/** Reports changes of this host's backend servers. */
export interface EventReporters {
    warn(name: string, fields: Event["fields"]): void;
    inform(name: string, fields: Event["fields"]): void;
    reportChange(server: BackendServer, known: BackendServer | undefined): void;
}

export function createEventReporters(board: Board): EventReporters {
    const events = board.claimFeed("backendServerEvents");
    const report = (level: EventLevel) => (name: string, fields: Event["fields"]) =>
        events.append({ name, level, fields });
    const inform = report(EventLevel.Info);
    return {
        warn: report(EventLevel.Warn),
        inform,
        reportChange({ id, service, state, incarnation }: BackendServer, known: BackendServer | undefined) {
            if (known?.state !== state || known.incarnation !== incarnation) {
                inform("backendServer.changed", { id, service, state, incarnation });
            }
        },
    };
}
