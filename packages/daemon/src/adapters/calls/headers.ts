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
/** Headers that a request may carry once at most. */
const single = /^(content-length|transfer-encoding|host|traceparent|tanagertray-.*)$/;

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
    const entries = pairs(raw);
    const byName = new Map<string, string>();
    let repeatsSingle = false;
    for (const [name, value] of entries) {
        repeatsSingle ||= byName.has(name) && single.test(name);
        byName.set(name, value);
    }
    const nominated = nominatedNames(entries);
    const length = byName.get("content-length");
    const encoding = byName.get("transfer-encoding");
    if (
        entries.length > maxHeaders ||
        repeatsSingle ||
        [...nominated].some(name => neverNominated.test(name)) ||
        (length !== undefined && (encoding !== undefined || !/^\d{1,15}$/.test(length))) ||
        (encoding !== undefined && encoding.toLowerCase() !== "chunked")
    ) {
        return Left(refusal(RefusalReason.Malformed));
    }
    const passed = entries.filter(
        ([name]) =>
            !isDropped(name, nominated) && (rules.passesHost || name !== "host") && !rules.isReserved(name),
    );
    const isOwn = (name: string) =>
        name.startsWith(ownPrefix) ||
        name === "traceparent" ||
        name === rules.callIdHeader ||
        name === rules.deadlineHeader;
    return Right({
        headers: passed.flat(),
        own: new Map(entries.filter(([name]) => isOwn(name))),
        hostName: (byName.get("host") ?? "").replace(/:\d+$/, "").toLowerCase(),
        hasBody: encoding !== undefined || Number(length ?? 0) > 0,
        declaredBytes: length === undefined ? undefined : Number(length),
    });
}

/** Headers of a response that may be passed on. Those of the daemons are kept only between daemons. */
export function responseHeaders(raw: readonly string[], kept: ReadonlySet<string>): string[] {
    const entries = pairs(raw);
    const nominated = nominatedNames(entries);
    return entries.filter(([name]) => kept.has(name) || !isDropped(name, nominated)).flat();
}

/** Value of the first header of that name, which is given in lower case. */
export function headerValue(raw: readonly string[], name: string): string | undefined {
    const index = raw.findIndex((part, i) => i % 2 === 0 && part.toLowerCase() === name);
    return index < 0 ? undefined : raw[index + 1];
}

function isDropped(name: string, nominated: ReadonlySet<string>): boolean {
    return hopByHop.has(name) || nominated.has(name) || name.startsWith(ownPrefix) || name === "traceparent";
}

const nothingNominated: ReadonlySet<string> = new Set();

function nominatedNames(entries: readonly [string, string][]): ReadonlySet<string> {
    let names = nothingNominated;
    for (const [name, value] of entries) {
        // Nearly every `connection` header only says these, which are dropped anyway.
        if (name === "connection" && value !== "keep-alive" && value !== "close") {
            names = new Set([...names, ...value.split(",").map(part => part.trim().toLowerCase())]);
        }
    }
    return names;
}

function pairs(raw: readonly string[]): [string, string][] {
    const result: [string, string][] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        result.push([(raw[i] as string).toLowerCase(), raw[i + 1] as string]);
    }
    return result;
}
