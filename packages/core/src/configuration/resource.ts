/** Resources of the generated configuration, which refer to each other by name. */

export const ResourceKind = {
    Route: "route",
    Service: "service",
    Caller: "caller",
    Partner: "partner",
    PathRoute: "pathRoute",
    Limits: "limits",
} as const;
export type ResourceKind = (typeof ResourceKind)[keyof typeof ResourceKind];

/** `<kind>/<name>`, such as `route/slot-booking`. */
export type ResourceName = string;

export interface Operation {
    readonly name: string;
    readonly method: string;
    readonly path: string;
    readonly repeatable: boolean;
    readonly deadlineMs: number;
    readonly maxBodyBytes: number;
}

export interface Route {
    readonly kind: typeof ResourceKind.Route;
    readonly name: string;
    readonly service: ResourceName;
    readonly callers: readonly ResourceName[];
    readonly operations: readonly Operation[];
}

export interface Service {
    readonly kind: typeof ResourceKind.Service;
    readonly name: string;
    readonly slots: number;
    readonly connections: number;
    readonly drainMs: number;
    readonly coldStartMs: number;
    readonly healthPath?: string;
}

export interface Caller {
    readonly kind: typeof ResourceKind.Caller;
    readonly name: string;
    readonly partner: ResourceName;
}

export interface Partner {
    readonly kind: typeof ResourceKind.Partner;
    readonly name: string;
    readonly share: number;
}

/** Whether a call may be executed more than once. */
export const Repetition = {
    /** May be executed more than once. */
    Safe: "safe",
    /** Is executed at most once. */
    Unsafe: "unsafe",
    /** Is executed at most once, and its body is streamed because it is large. */
    Upload: "upload",
} as const;
export type Repetition = (typeof Repetition)[keyof typeof Repetition];

/** A service to which a route sends calls, and its relative weight. */
export interface Destination {
    readonly service: ResourceName;
    readonly weight: number;
}

/** A route that is selected by the host name of a call and the longest prefix of its path. */
export interface PathRoute {
    readonly kind: typeof ResourceKind.PathRoute;
    readonly name: string;
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly destinations: readonly Destination[];
    readonly repetition: Repetition;
    /** Maximum number of backend servers to which one call may be sent. */
    readonly maxAttempts: number;
    readonly timeoutMs: number;
    /** Response time up to which a response has its full value. */
    readonly latencyObjectiveMs: number;
    /** Priority of the calls; 0 is the highest. */
    readonly priority: number;
}

/** Size limits and timeouts for the connections of callers. */
export interface Limits {
    readonly kind: typeof ResourceKind.Limits;
    readonly name: string;
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** Name of the only resource of kind `limits`. */
export const callerLimitsName = "callers";

export type Resource = Route | Service | Caller | Partner | PathRoute | Limits;

/** Names of the resources to which a resource refers. */
export function referencesOf(resource: Resource): readonly ResourceName[] {
    return referencesByKind[resource.kind](resource as never);
}

const referencesByKind = {
    [ResourceKind.Route]: (route: Route) => [route.service, ...route.callers],
    [ResourceKind.Service]: () => [],
    [ResourceKind.Caller]: (caller: Caller) => [caller.partner],
    [ResourceKind.Partner]: () => [],
    [ResourceKind.PathRoute]: (route: PathRoute) => route.destinations.map(({ service }) => service),
    [ResourceKind.Limits]: () => [],
} satisfies Record<ResourceKind, (resource: never) => readonly ResourceName[]>;

export function resourceName(kind: ResourceKind, name: string): ResourceName {
    return `${kind}/${name}`;
}
