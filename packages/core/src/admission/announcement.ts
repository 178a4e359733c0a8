import { Left, Right, type Either } from "purify-ts/Either";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { BackendServerState, type Announcement, type BackendServer } from "./backendServer.js";

/** Silence after which a backend server gets no more work, in milliseconds. */
export const announcementLeaseMs = 3_000;
/** Backend servers that one host keeps. */
export const maxBackendServers = 64;

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const addressPattern = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9A-Fa-f:.]{2,45}\]):([1-9]\d{0,4})$/;
const states: ReadonlySet<unknown> = new Set(Object.values(BackendServerState));

/**
 * Checks an announcement as it was received and takes its known fields.
 *
 * @returns a problem that names the first field that is not valid
 */
export function readAnnouncement(value: unknown): Either<Problem, Announcement> {
    if (typeof value !== "object" || value === null) {
        return Left(problem(ProblemCode.MalformedMessage, "the announcement is not an object"));
    }
    const given = value as Readonly<Record<string, unknown>>;
    const fields = Object.keys(checks) as (keyof Announcement)[];
    const invalid = fields.find(field => !checks[field](given[field]));
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
    incarnation: isCount,
    counter: isCount,
    state: value => states.has(value),
    slots: value => value === undefined || isCount(value),
    connections: value => value === undefined || isCount(value),
    leaseMs: value => value === undefined || isCount(value),
    load: value => value === undefined || (typeof value === "number" && value >= 0 && value <= 1),
} satisfies Record<keyof Announcement, (value: unknown) => boolean>;

function isName(value: unknown): boolean {
    return typeof value === "string" && namePattern.test(value);
}

function isAddress(value: unknown): boolean {
    const port = typeof value === "string" ? addressPattern.exec(value)?.[2] : undefined;
    return port !== undefined && Number(port) <= 65_535;
}

function isCount(value: unknown): boolean {
    return Number.isSafeInteger(value) && (value as number) >= 0;
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
