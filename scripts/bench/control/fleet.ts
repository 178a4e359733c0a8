import {
    assembleConfiguration,
    chooseTopology,
    generateConfiguration,
    HostState,
    manifestHashOf,
    neededResourceNames,
    resolveAnswers,
    type Answers,
    type GeneratedConfiguration,
    type HeldConfiguration,
    type HostRecord,
    type Interest,
} from "@tanagertray/core";

/** Planned size: 30,000 backend servers in 1,200 services. */
const backendServersPerService = 25;
/** Current number of services of each user. */
const minServices = 4;
/** Number of services that each service calls. */
const callsPerService = 3;
const outsideCallers = 4;

export interface FleetOptions {
    readonly hosts: number;
    readonly random: () => number;
    /** @default 6 */
    readonly domains?: number;
    /** @default 3 */
    readonly regions?: number;
}

export interface Fleet {
    readonly records: readonly HostRecord[];
    readonly services: number;
}

/** Creates records of alive hosts, distributed evenly over the failure domains and services. */
export function createFleet({ hosts, random, domains = 6, regions = 3 }: FleetOptions): Fleet {
    const services = Math.max(minServices, Math.round(hosts / backendServersPerService));
    const records = Array.from({ length: hosts }, (_, index): HostRecord => {
        const domain = index % domains;
        const suffix = Math.floor(random() * 0xffff_ffff).toString(36);
        return {
            host: `host-${index}-${suffix}`,
            failureDomain: `domain-${domain}`,
            region: `region-${Math.floor((domain * regions) / domains)}`,
            incarnation: 1_700_000_000_000 + index,
            counter: 3,
            state: HostState.Alive,
            peerAddress: `10.${domain}.${(index >> 8) & 255}.${index & 255}:7001`,
            offers: [{ service: serviceName(index % services), slots: 20, startedAt: 1_700_000_000_000 }],
            version: 1,
        };
    });
    return { records, services };
}

export function serviceName(index: number): string {
    return `service-${index}`;
}

/** Generates a configuration with the given number of services. Versions differ in the slots of `service-0`. */
export function createConfiguration(services: number, version: number): GeneratedConfiguration {
    const names = Array.from({ length: services }, (_, index) => serviceName(index));
    const callees = (index: number) =>
        Array.from({ length: Math.min(callsPerService, services - 1) }, (_, step) =>
            serviceName((index + step + 1) % services),
        );
    const operations = ["list", "get", "put"].map(name => ({
        name,
        method: name === "put" ? "PUT" : "GET",
        path: `/${name}/*`,
        repeatable: name !== "put",
    }));
    const answers: Answers = {
        deployment: "bench",
        partners: { north: { share: 2 }, south: { share: 1 } },
        services: Object.fromEntries(
            names.map((name, index) => [
                name,
                { slots: index === 0 ? 20 + version : 20, connections: 130, operations },
            ]),
        ),
        callers: Object.fromEntries([
            ...names.map((name, index) => [`from-${name}`, { service: name, mayCall: callees(index) }]),
            ...Array.from({ length: outsideCallers }, (_, index) => [
                `outside-${index}`,
                { partner: index % 2 === 0 ? "north" : "south", mayCall: names.slice(0, minServices) },
            ]),
        ]),
    };
    return generateConfiguration(resolveAnswers(answers), { version });
}

export function interestOf(record: HostRecord): Interest {
    return { services: record.offers.map(offer => offer.service), outsideCallers: true };
}

export function createHeldConfiguration(
    { manifest, parts }: GeneratedConfiguration,
    interest: Interest,
    manifestHash: string = manifestHashOf(manifest),
): HeldConfiguration {
    const needed = neededResourceNames(manifest, interest);
    return assembleConfiguration({ manifest, manifestHash, parts, needed }).caseOf({
        Left: reason => {
            throw new Error(reason.message);
        },
        Right: held => held,
    });
}

/** Returns the linked hosts of each host. A link carries messages in both directions, whichever side opened it. */
export function linkFleet(records: readonly HostRecord[]): {
    links: ReadonlyMap<string, ReadonlySet<string>>;
    headReaders: readonly string[];
} {
    const links = new Map(records.map(record => [record.host, new Set<string>()]));
    const headReaders: string[] = [];
    for (const record of records) {
        const topology = chooseTopology(record, records);
        for (const { host } of topology.neighbours) {
            links.get(record.host)?.add(host);
            links.get(host)?.add(record.host);
        }
        if (topology.headReader) {
            headReaders.push(record.host);
        }
    }
    return { links, headReaders };
}
