import type { ResolvedAnswers, ResolvedServiceAnswers, RouteAnswers } from "../answers/answers.js";
import { canonicalBytes, contentHash } from "../configuration/canonical.js";
import type { Manifest, ManifestEntry, Parts } from "../configuration/manifest.js";
import type {
    Caller,
    Partner,
    PathRoute,
    Resource,
    ResourceName,
    Route,
    Service,
} from "../configuration/resource.js";
import { callerLimitsName, referencesOf, ResourceKind, resourceName } from "../configuration/resource.js";
import { defaultShare, internalPartner } from "../constants.js";

export interface GeneratedConfiguration {
    readonly manifest: Manifest;
    readonly parts: Parts;
}

export interface GenerationOptions {
    version: number;
}

/** Value in `neededBy` that stands for every host that accepts outside callers. */
const everyEntryHost = "*";

/**
 * Generates the configuration of one version. The output is deterministic: equal answers give equal bytes.
 *
 * @example
 * ```ts
 * const { manifest, parts } = generateConfiguration(resolveAnswers(answers), { version: 4 });
 * ```
 */
export function generateConfiguration(
    answers: ResolvedAnswers,
    options: GenerationOptions,
): GeneratedConfiguration {
    const resources = generateResources(answers);
    const neededBy = findDependentServices(answers, resources);
    return encodeResources(resources, {
        version: options.version,
        neededBy: name => neededBy.get(name) ?? [],
    });
}

export interface EncodingOptions extends GenerationOptions {
    /**
     * Services whose hosts need a resource.
     * @default every host that accepts outside callers
     */
    neededBy?: (name: ResourceName) => readonly string[];
}

/**
 * Encodes the resources of one version as a manifest and its parts. Equal resources give equal bytes.
 *
 * @example
 * ```ts
 * const { manifest, parts } = encodeResources(new Map([["service/stock", stock]]), { version: 4 });
 * ```
 */
export function encodeResources(
    resources: ReadonlyMap<ResourceName, Resource>,
    { version, neededBy = () => [everyEntryHost] }: EncodingOptions,
): GeneratedConfiguration {
    const parts = new Map<string, Uint8Array>();
    const entries: Record<ResourceName, ManifestEntry> = {};
    for (const [name, resource] of resources) {
        const bytes = canonicalBytes(resource);
        const hash = contentHash(bytes);
        parts.set(hash, bytes);
        entries[name] = { hash, references: referencesOf(resource), neededBy: neededBy(name) };
    }
    return { manifest: { version, entries }, parts };
}

function generateResources(answers: ResolvedAnswers): Map<ResourceName, Resource> {
    const resources: Resource[] = [
        ...generatePartners(answers),
        ...Object.entries(answers.callers).map(([name, caller]) => generateCaller(name, caller.partner)),
        ...Object.entries(answers.services).flatMap(([name, service]) => [
            generateService(name, service),
            generateRoute(name, service, answers),
        ]),
        ...Object.entries(answers.routes).map(([name, route]) => generatePathRoute(name, route)),
        ...(answers.limits === undefined
            ? []
            : [{ kind: ResourceKind.Limits, name: callerLimitsName, ...answers.limits }]),
    ];
    const named = resources.map(resource => [resourceName(resource.kind, resource.name), resource] as const);
    return new Map(named.sort(([a], [b]) => (a < b ? -1 : 1)));
}

function generatePartners(answers: ResolvedAnswers): Partner[] {
    const internal: Partner = { kind: ResourceKind.Partner, name: internalPartner, share: defaultShare };
    const named = Object.entries(answers.partners).map(([name, partner]): Partner => ({
        kind: ResourceKind.Partner,
        name,
        share: partner.share,
    }));
    return [internal, ...named.filter(partner => partner.name !== internalPartner)];
}

function generateCaller(name: string, partner: string = internalPartner): Caller {
    return { kind: ResourceKind.Caller, name, partner: resourceName(ResourceKind.Partner, partner) };
}

function generateService(name: string, service: ResolvedServiceAnswers): Service {
    return {
        kind: ResourceKind.Service,
        name,
        slots: service.slots,
        connections: service.connections,
        drainMs: service.drainSeconds * 1_000,
        coldStartMs: service.coldStartMs,
        ...(service.healthPath === undefined ? {} : { healthPath: service.healthPath }),
    };
}

function generateRoute(name: string, service: ResolvedServiceAnswers, answers: ResolvedAnswers): Route {
    const callers = Object.entries(answers.callers)
        .filter(([, caller]) => caller.mayCall.includes(name))
        .map(([caller]) => resourceName(ResourceKind.Caller, caller))
        .sort();
    return {
        kind: ResourceKind.Route,
        name,
        service: resourceName(ResourceKind.Service, name),
        callers,
        operations: service.operations,
    };
}

function generatePathRoute(name: string, { destinations, ...route }: Required<RouteAnswers>): PathRoute {
    return {
        kind: ResourceKind.PathRoute,
        name,
        ...route,
        destinations: Object.entries(destinations).map(([service, weight]) => ({
            service: resourceName(ResourceKind.Service, service),
            weight,
        })),
    };
}

/**
 * Finds the services whose hosts need each resource. The hosts of a route's service and the hosts at which its callers
 * enter the mesh need the route with everything that it references.
 */
function findDependentServices(
    answers: ResolvedAnswers,
    resources: Map<ResourceName, Resource>,
): Map<ResourceName, string[]> {
    const dependents = new Map<ResourceName, Set<string>>();
    for (const service of Object.keys(answers.services)) {
        const callers = Object.values(answers.callers).filter(caller => caller.mayCall.includes(service));
        const dependentServices = [service, ...callers.map(caller => caller.service ?? everyEntryHost)];
        addDependentServices(
            resourceName(ResourceKind.Route, service),
            dependentServices,
            resources,
            dependents,
        );
    }
    // Calls of a path route may enter at any host, including hosts whose service is not a destination of the route.
    const allServices = [everyEntryHost, ...Object.keys(answers.services)];
    for (const route of Object.keys(answers.routes)) {
        addDependentServices(resourceName(ResourceKind.PathRoute, route), allServices, resources, dependents);
    }
    addDependentServices(
        resourceName(ResourceKind.Limits, callerLimitsName),
        allServices,
        resources,
        dependents,
    );
    return new Map([...dependents].map(([name, services]) => [name, [...services].sort()]));
}

function addDependentServices(
    name: ResourceName,
    services: readonly string[],
    resources: Map<ResourceName, Resource>,
    dependents: Map<ResourceName, Set<string>>,
): void {
    const resource = resources.get(name);
    if (resource === undefined) {
        return;
    }
    const servicesOfResource = dependents.get(name) ?? new Set<string>();
    services.forEach(service => servicesOfResource.add(service));
    dependents.set(name, servicesOfResource);
    referencesOf(resource).forEach(reference =>
        addDependentServices(reference, services, resources, dependents),
    );
}
