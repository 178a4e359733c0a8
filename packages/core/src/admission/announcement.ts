import { Left, Right, type Either } from "purify-ts/Either";
import { isEndpoint } from "../checking/endpoint.js";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { BackendServerState, type Announcement, type BackendServer } from "./backendServer.js";

/** Time without an announcement after which a backend server gets no more calls, in milliseconds. */
export const announcementLeaseMs = 3_000;
/** Time by which an announcement may arrive late, in milliseconds. */
export const maxAnnouncementDelayMs = 5_000;
/** Maximum number of backend servers that one host tracks. */
export const maxBackendServers = 64;

/** Maximum slots or connections of a backend server. Each slot uses one connection, and an address has this many ports. */
export const maxAnnouncedSlots = 65_535;
/** Maximum announcement counter: one announcement per second for 136 years. */
export const maxAnnouncementCounter = 4_294_967_295;
/** Maximum time by which an incarnation may be ahead of the local clock, in milliseconds. Clocks differ by seconds. */
export const maxIncarnationLeadMs = 86_400_000;

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const states: ReadonlySet<unknown> = new Set(Object.values(BackendServerState));

export interface AnnouncementOptions {
    /**
     * Milliseconds since the epoch.
     * @default Date.now()
     */
    readonly now?: number;
}

/**
 * Validates a received announcement and returns its known fields. An implausibly high incarnation or counter is
 * rejected, because every valid announcement after it would be treated as outdated.
 *
 * @returns the announcement, or a problem that names the first invalid field
 */
export function readAnnouncement(
    value: unknown,
    { now = Date.now() }: AnnouncementOptions = {},
): Either<Problem, Announcement> {
    if (typeof value !== "object" || value === null) {
        return Left(problem(ProblemCode.MalformedMessage, "the announcement is not an object"));
    }
    const received = value as Readonly<Record<string, unknown>>;
    const fields = Object.keys(fieldChecks) as (keyof Announcement)[];
    const invalid = fields.find(field => !fieldChecks[field](received[field], now));
    if (invalid !== undefined) {
        const message = `field "${invalid}" of the announcement is not valid`;
        return Left(problem(ProblemCode.MalformedMessage, message, { where: invalid }));
    }
    const present = fields.filter(field => received[field] !== undefined);
    return Right(
        Object.fromEntries(present.map(field => [field, received[field]])) as unknown as Announcement,
    );
}

const fieldChecks = {
    id: isName,
    service: isName,
    address: isAddress,
    incarnation: (value, now) => isNonNegativeInteger(value, now + maxIncarnationLeadMs),
    counter: value => isNonNegativeInteger(value, maxAnnouncementCounter),
    state: value => states.has(value),
    slots: value => value === undefined || isNonNegativeInteger(value, maxAnnouncedSlots),
    connections: value => value === undefined || isNonNegativeInteger(value, maxAnnouncedSlots),
    leaseMs: value => value === undefined || isNonNegativeInteger(value),
    load: value => value === undefined || (typeof value === "number" && value >= 0 && value <= 1),
} satisfies Record<keyof Announcement, (value: unknown, now: number) => boolean>;

function isName(value: unknown): boolean {
    return typeof value === "string" && namePattern.test(value);
}

function isAddress(value: unknown): boolean {
    return typeof value === "string" && isEndpoint(value);
}

function isNonNegativeInteger(value: unknown, max = Number.MAX_SAFE_INTEGER): boolean {
    return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= max;
}

export function isNewerAnnouncement(announcement: Announcement, known: BackendServer): boolean {
    return (
        announcement.incarnation > known.incarnation ||
        (announcement.incarnation === known.incarnation && announcement.counter > known.counter)
    );
}

export function hasValidLease(server: BackendServer, now: number): boolean {
    return now - server.announcedAt <= (server.leaseMs ?? announcementLeaseMs);
}
