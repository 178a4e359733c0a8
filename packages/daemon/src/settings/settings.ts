import { Spread } from "@tanagertray/core";

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
    };
    /**
     * `address:port` of the peer listeners of a few other hosts, for the first links.
     * @default []
     */
    peers?: string[];
    keys: {
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
    readonly platform: { readonly url: string };
    readonly peers: readonly string[];
    readonly keys: {
        readonly operator: readonly string[];
        readonly backendServer: readonly string[];
        readonly peer: readonly string[];
    };
    readonly spread: Spread;
    readonly outsideCallers: boolean;
    readonly log: { readonly level: string };
    readonly traces: { readonly exporter: TraceExporter; readonly url: string | undefined };
}

export interface Endpoint {
    readonly address: string;
    readonly port: number;
}
