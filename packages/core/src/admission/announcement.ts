import { Left, Right, type Either } from "purify-ts/Either";
import { isEndpoint } from "../checking/endpoint.js";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { BackendServerState, type Announcement, type BackendServer } from "./backendServer.js";

/** Silence after which a backend server gets no more work, in milliseconds. */
export const announcementLeaseMs = 3_000;
/** Backend servers that one host keeps. */
export const maxBackendServers = 64;

/** Most slots or connections of a backend server. A slot takes a connection, and so many ports has one address. */
export const maxAnnouncedSlots = 65_535;
/** Highest number of an announcement: one each second for 136 years. */
export const maxAnnouncementCounter = 4_294_967_295;
/** Time by which the start of a backend server may lie ahead of the clock here, in milliseconds; clocks differ by seconds. */
export const maxStartLeadMs = 86_400_000;

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
 * Checks an announcement as it was received and takes its known fields. A start or a number that cannot be is refused,
 * because all true announcements after it would count as late.
 *
 * @returns a problem that names the first field that is not valid
 */
export function readAnnouncement(
    value: unknown,
    { now = Date.now() }: AnnouncementOptions = {},
): Either<Problem, Announcement> {
    if (typeof value !== "object" || value === null) {
        return Left(problem(ProblemCode.MalformedMessage, "the announcement is not an object"));
    }
    const given = value as Readonly<Record<string, unknown>>;
    const fields = Object.keys(checks) as (keyof Announcement)[];
    const invalid = fields.find(field => !checks[field](given[field], now));
    if (invalid !== undefined) {
        const message = `field "${invalid}" of the announcement is not valid`;
        return Left(problem(ProblemCode.MalformedMessage, message, { where: invalid }));
    }
    const present = fields.filter(field => given[field] !== undefined);
    return Right(Object.fromEntries(present.map(field => [field, given[field]])) as unknown as Announcement);
}

const checks = {
    id: isName,
    service: isName,
    address: isAddress,
    incarnation: (value, now) => isCount(value, now + maxStartLeadMs),
    counter: value => isCount(value, maxAnnouncementCounter),
    state: value => states.has(value),
    slots: value => value === undefined || isCount(value, maxAnnouncedSlots),
    connections: value => value === undefined || isCount(value, maxAnnouncedSlots),
    leaseMs: value => value === undefined || isCount(value),
    load: value => value === undefined || (typeof value === "number" && value >= 0 && value <= 1),
} satisfies Record<keyof Announcement, (value: unknown, now: number) => boolean>;

function isName(value: unknown): boolean {
    return typeof value === "string" && namePattern.test(value);
}

function isAddress(value: unknown): boolean {
    return typeof value === "string" && isEndpoint(value);
}

function isCount(value: unknown, most = Number.MAX_SAFE_INTEGER): boolean {
    return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= most;
}

export function isNewerAnnouncement(announcement: Announcement, known: BackendServer): boolean {
    return (
        announcement.incarnation > known.incarnation ||
        (announcement.incarnation === known.incarnation && announcement.counter > known.counter)
    );
}

export function hasLease(server: BackendServer, now: number): boolean {
    return now - server.announcedAt <= (server.leaseMs ?? announcementLeaseMs);
}
