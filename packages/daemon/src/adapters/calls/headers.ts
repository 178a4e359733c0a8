import { refusal, RefusalReason, type Refusal } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { maxHeaders } from "./constants.js";
import type { CallDialect } from "./dialect.js";

/** RFC 9110, section 7.6.1, and `expect`, which each hop answers for itself. */
const hopByHop: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);
/** A `connection` header that names one of these would change the framing or the identity of a call. */
const neverNominated = /^(content-length|host|transfer-encoding|traceparent|tanagertray-.*)$/;
const ownPrefix = "tanagertray-";
export const outcomeHeader = "tanagertray-outcome";
/** Headers that a request may carry once at most, besides those of the dialect. */
const single = /^(content-length|transfer-encoding|host)$/;

export interface RequestHead {
    /** Names and values to pass on, alternating. */
    readonly headers: readonly string[];
    /** Headers that the daemon itself reads, by name. */
    readonly own: ReadonlyMap<string, string>;
    /** Name in the `host` header, in lower case and without the port. */
    readonly hostName: string;
    readonly hasBody: boolean;
    readonly declaredBytes: number | undefined;
}

/** What a dialect says of the headers of a request. */
export type HeaderRules = Pick<CallDialect, "callIdHeader" | "deadlineHeader" | "isReserved" | "passesHost">;

/** Checks the headers of a request (RFC 9112, section 6) and separates what may be passed on. */
export function readRequestHead(raw: readonly string[], rules: HeaderRules): Either<Refusal, RequestHead> {
    const nominated = nominatedNames(raw);
    const byName = new Map<string, string>();
    const own = new Map<string, string>();
    const headers: string[] = [];
    let repeatsSingle = false;
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = (raw[i] as string).toLowerCase();
        const value = raw[i + 1] as string;
        const isRead = isOwn(name, rules);
        repeatsSingle ||= byName.has(name) && (isRead || single.test(name));
        byName.set(name, value);
        if (isRead) {
            own.set(name, value);
        }
        if (!isDropped(name, nominated) && (rules.passesHost || name !== "host") && !rules.isReserved(name)) {
            headers.push(name, value);
        }
    }
    const length = byName.get("content-length");
    const encoding = byName.get("transfer-encoding");
    if (
        raw.length > 2 * maxHeaders ||
        repeatsSingle ||
        [...nominated].some(name => neverNominated.test(name)) ||
        (length !== undefined && (encoding !== undefined || !/^\d{1,15}$/.test(length))) ||
        (encoding !== undefined && encoding.toLowerCase() !== "chunked")
    ) {
        return Left(refusal(RefusalReason.Malformed));
    }
    return Right({
        headers,
        own,
        hostName: (byName.get("host") ?? "").replace(/:\d+$/, "").toLowerCase(),
        hasBody: encoding !== undefined || Number(length ?? 0) > 0,
        declaredBytes: length === undefined ? undefined : Number(length),
    });
}

function isOwn(name: string, { callIdHeader, deadlineHeader }: HeaderRules): boolean {
    return (
        name === callIdHeader ||
        name === deadlineHeader ||
        name === "traceparent" ||
        name.startsWith(ownPrefix)
    );
}

/** Headers of a response that may be passed on. Those of the daemons are kept only between daemons. */
export function responseHeaders(raw: readonly string[], kept: ReadonlySet<string>): string[] {
    const nominated = nominatedNames(raw);
    const headers: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = (raw[i] as string).toLowerCase();
        if (kept.has(name) || !isDropped(name, nominated)) {
            headers.push(name, raw[i + 1] as string);
        }
    }
    return headers;
}

/** Value of the first header of that name, which is given in lower case. */
export function headerValue(raw: readonly string[], name: string): string | undefined {
    for (let i = 0; i + 1 < raw.length; i += 2) {
        // Only names of the same length need to be compared in lower case.
        if (raw[i]?.length === name.length && raw[i]?.toLowerCase() === name) {
            return raw[i + 1];
        }
    }
    return undefined;
}

/** Values of all headers of that name, which is given in lower case. */
export function headerValues(raw: readonly string[], name: string): readonly string[] {
    let values = noValues;
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (raw[i]?.length === name.length && raw[i]?.toLowerCase() === name) {
            values = [...values, raw[i + 1] as string];
        }
    }
    return values;
}

const noValues: readonly string[] = [];

function isDropped(name: string, nominated: ReadonlySet<string>): boolean {
    return hopByHop.has(name) || nominated.has(name) || name.startsWith(ownPrefix) || name === "traceparent";
}

const nothingNominated: ReadonlySet<string> = new Set();

/** Names that the `connection` headers nominate. */
function nominatedNames(raw: readonly string[]): ReadonlySet<string> {
    let names = nothingNominated;
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const value = raw[i + 1] as string;
        // Nearly every `connection` header only says these, which are dropped anyway.
        const isOrdinary = value === "keep-alive" || value === "close";
        if (!isOrdinary && isConnection(raw[i] as string)) {
            names = new Set([...names, ...value.split(",").map(part => part.trim().toLowerCase())]);
        }
    }
    return names;
}

function isConnection(name: string): boolean {
    return name.length === "connection".length && name.toLowerCase() === "connection";
}
