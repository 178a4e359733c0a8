/** The generated configuration: resources that refer to each other by name. */

export const ResourceKind = {
    Route: "route",
    Service: "service",
    Caller: "caller",
    Partner: "partner",
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

export type Resource = Route | Service | Caller | Partner;

/** Resources that the given resource needs. */
export function referencesOf(resource: Resource): readonly ResourceName[] {
    return referencesByKind[resource.kind](resource as never);
}

const referencesByKind = {
    [ResourceKind.Route]: (route: Route) => [route.service, ...route.callers],
    [ResourceKind.Service]: () => [],
    [ResourceKind.Caller]: (caller: Caller) => [caller.partner],
    [ResourceKind.Partner]: () => [],
} satisfies Record<ResourceKind, (resource: never) => readonly ResourceName[]>;

export function resourceName(kind: ResourceKind, name: string): ResourceName {
    return `${kind}/${name}`;
}
