import { BackendServerState, type Announcement, type BackendServer } from "./backendServer.js";

/** Silence after which a backend server gets no more work, in milliseconds. */
export const announcementLeaseMs = 3_000;
/** Backend servers that one host keeps. */
export const maxBackendServers = 64;

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const addressPattern = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9A-Fa-f:.]{2,45}\]):([1-9]\d{0,4})$/;
const states: ReadonlySet<unknown> = new Set(Object.values(BackendServerState));

/** Names the first field of an announcement that is not valid, or `undefined` when all are. */
export function invalidField(announcement: Announcement): keyof Announcement | undefined {
    return (Object.keys(checks) as (keyof Announcement)[]).find(field => !checks[field](announcement[field]));
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
    return now - server.announcedAt <= announcementLeaseMs;
}
