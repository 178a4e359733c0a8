import { Spread, type RetryLimits, type Tier, type TierCost, type TierCosts } from "@tanagertray/core";

export { Spread };

/** Types of the settings of one daemon: as written by an operator, and with every default resolved. */

export const TraceExporter = { None: "none", Log: "log", Otlp: "otlp" } as const;
export type TraceExporter = (typeof TraceExporter)[keyof typeof TraceExporter];

export interface Settings {
    /** Name of the host. Must be unique in the deployment. */
    host: string;
    failureDomain: string;
    region: string;
    listen: {
        /** `address:port` of the listener for callers. */
        calls: string;
        /** `address:port` of the listener for other daemons. */
        peer: string;
        /** `address:port` of the listener for operators, backend servers and monitoring. */
        admin: string;
    };
    /** Addresses at which others reach this host, if they differ from the listen addresses. */
    advertise?: {
        /**
         * `address:port` at which other daemons reach this host.
         * @default listen.peer
         */
        peer?: string;
    };
    platform: {
        /** Base URL of the table service and object store. */
        url: string;
        /**
         * Long-polling time in milliseconds: how long the platform may delay the answer to a read of the head row until
         * the row changes.
         * @default 0
         */
        watchMs?: number;
        /**
         * Longest time in milliseconds in which an accepted version should be in force on every host. Other hosts take
         * over the reads of the head row well within it. Must be longer than `watchMs` and the time of an answer.
         * @default 6000
         */
        freshnessMs?: number;
        /**
         * Longest time in milliseconds that a starting host waits for a peer with the accepted version before it reads
         * the object store. Use 0 for a platform that returns the whole version together with the head row.
         * @default 2000
         */
        patienceMs?: number;
    };
    /**
     * `address:port` of the peer listeners of a few other hosts, to which this host opens its first links.
     * @default []
     */
    peers?: string[];
    /**
     * Whether only daemons of this deployment can reach the peer listener. Links and calls between daemons are then
     * not authenticated, and `keys` may be omitted. Without keys, operator and backend server requests are all denied.
     * @default false
     */
    trustedNetwork?: boolean;
    /** Required unless `trustedNetwork` is set. */
    keys?: {
        /** Bearer tokens of operators. Two are valid during a rotation. */
        operator: string[];
        /** Bearer tokens of backend servers. */
        backendServer: string[];
        /** Keys shared by the daemons. The first one signs, and all of them verify. */
        peer: string[];
    };
    /** @default "eager" */
    spread?: Spread;
    /**
     * Cost of sending calls to a more distant host, by the tier of that host.
     * @default defaultTierCosts
     */
    distances?: Partial<Record<Tier, Partial<TierCost>>>;
    retries?: {
        /**
         * Maximum ratio of retries to calls, for each service.
         * @default 0.1
         */
        ratio?: number;
        /**
         * Maximum number of retries to a service in a burst after a period without retries.
         * @default 10
         */
        burst?: number;
    };
    shutdown?: {
        /**
         * Time in milliseconds after the shutdown request during which new calls are still accepted, because callers
         * learn of the shutdown with a delay.
         * @default 0
         */
        lingerMs?: number;
        /**
         * Time in milliseconds after which calls in flight are aborted.
         * @default the longest drain time of the services
         */
        graceMs?: number;
    };
    /**
     * Bandwidth of the host's network link in megabits per second. Limits how many request bodies arrive at a time.
     * @default 1000
     */
    linkMbps?: number;
    /**
     * Whether external callers may connect to this host.
     * @default true
     */
    outsideCallers?: boolean;
    log?: {
        /** @default "info" */
        level?: string;
    };
    traces?: {
        /** @default "none" */
        exporter?: TraceExporter;
        /** Endpoint of the OTLP collector. */
        url?: string;
    };
}

export interface ResolvedSettings {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly listen: { readonly calls: Endpoint; readonly peer: Endpoint; readonly admin: Endpoint };
    readonly advertise: { readonly peer: Endpoint };
    readonly platform: {
        readonly url: string;
        readonly watchMs: number;
        readonly freshnessMs: number;
        readonly patienceMs: number;
    };
    readonly peers: readonly string[];
    readonly keys: {
        readonly operator: readonly string[];
        readonly backendServer: readonly string[];
        /** `undefined` in a trusted network. */
        readonly peer: readonly string[] | undefined;
    };
    readonly spread: Spread;
    readonly distances: TierCosts;
    readonly retries: Required<RetryLimits>;
    readonly shutdown: { readonly lingerMs: number; readonly graceMs: number | undefined };
    readonly linkMbps: number;
    readonly outsideCallers: boolean;
    readonly log: { readonly level: string };
    readonly traces: { readonly exporter: TraceExporter; readonly url: string | undefined };
}

export interface Endpoint {
    readonly address: string;
    readonly port: number;
}
