import { Spread, type TierCost, type TierCosts, type RetryLimits, type Tier } from "@tanagertray/core";

export { Spread };

/** Settings of one daemon as an operator writes them, and the same with every default resolved. */

export const TraceExporter = { None: "none", Log: "log", Otlp: "otlp" } as const;
export type TraceExporter = (typeof TraceExporter)[keyof typeof TraceExporter];

export interface Settings {
    /** Name of the host, unique in the deployment. */
    host: string;
    failureDomain: string;
    region: string;
    listen: {
        /** `address:port` for callers. */
        calls: string;
        /** `address:port` for other daemons. */
        peer: string;
        /** `address:port` for operators, backend servers and monitoring. */
        admin: string;
    };
    /** Addresses that others use for this host, where they differ from the listen addresses. */
    advertise?: {
        /**
         * `address:port` for other daemons.
         * @default listen.peer
         */
        peer?: string;
    };
    platform: {
        /** Base URL of the table service and object store. */
        url: string;
        /**
         * Time in milliseconds for which the platform may hold a read of the head row until the row changes.
         * @default 0
         */
        watchMs?: number;
        /**
         * Longest time in milliseconds that a starting host waits for a peer that holds the accepted version before it
         * reads the object store. 0 suits a platform whose head row brings the whole version.
         * @default 2000
         */
        patienceMs?: number;
    };
    /**
     * `address:port` of the peer listeners of a few other hosts, for the first links.
     * @default []
     */
    peers?: string[];
    /**
     * Whether only daemons of this deployment can reach the peer listener. Links and calls between daemons are then
     * not authenticated, and `keys` may be left out: nobody has the access of operators and backend servers.
     * @default false
     */
    trustedNetwork?: boolean;
    /** Left out only in a trusted network. */
    keys?: {
        /** Bearer tokens of operators; two are valid during a rotation. */
        operator: string[];
        /** Bearer tokens of backend servers. */
        backendServer: string[];
        /** Keys shared by the daemons; the first signs, all verify. */
        peer: string[];
    };
    /** @default "eager" */
    spread?: Spread;
    /**
     * What it costs to leave the nearer hosts for others, by where those are.
     * @default defaultTierCosts
     */
    distances?: Partial<Record<Tier, Partial<TierCost>>>;
    retries?: {
        /**
         * Share of the calls to a service that this host may send again.
         * @default 0.1
         */
        ratio?: number;
        /**
         * Repeated calls to a service that this host may send at once after a quiet time.
         * @default 10
         */
        burst?: number;
    };
    shutdown?: {
        /**
         * Time in milliseconds after the request to stop in which new calls are still taken, because callers learn of
         * it with a delay.
         * @default 0
         */
        lingerMs?: number;
        /**
         * Time in milliseconds after which calls in flight are cut.
         * @default the longest drain time of the services
         */
        graceMs?: number;
    };
    /**
     * Bandwidth of the host's link in megabits per second, of which request bodies get as many at a time as it carries.
     * @default 1000
     */
    linkMbps?: number;
    /**
     * Whether callers from outside may connect to this host.
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
    readonly platform: { readonly url: string; readonly watchMs: number; readonly patienceMs: number };
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
