import { refusal, RefusalReason, type Refusal } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { maxHeaders } from "./constants.js";
import type { CallDialect } from "./dialect.js";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and `expect`, which each hop handles itself. */
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
/** Removing one of these because a `connection` header lists it would change the framing or the identity of a call. */
const forbiddenConnectionOptions = /^(content-length|host|transfer-encoding|traceparent|tanagertray-.*)$/;
const daemonPrefix = "tanagertray-";
export const outcomeHeader = "tanagertray-outcome";
/** Headers that may occur only once in a request, in addition to those that the daemon reads. */
const singletonHeaders = /^(content-length|transfer-encoding|host)$/;

export interface RequestHead {
    /** Names and values to forward, alternating. */
    readonly headers: readonly string[];
    /** Headers that the daemon itself reads, by lower-case name. */
    readonly daemonHeaders: ReadonlyMap<string, string>;
    /** Name in the `host` header, in lower case and without the port. */
    readonly hostName: string;
    readonly hasBody: boolean;
    readonly declaredBytes: number | undefined;
}

/** The properties of a dialect that determine how request headers are handled. */
export type HeaderRules = Pick<
    CallDialect,
    "callIdHeader" | "deadlineHeader" | "isReserved" | "forwardsHost"
>;

/** Validates the headers of a request (RFC 9112, section 6) and selects those to forward. */
export function readRequestHead(raw: readonly string[], rules: HeaderRules): Either<Refusal, RequestHead> {
    const connectionOptions = connectionOptionsOf(raw);
    const byName = new Map<string, string>();
    const daemonHeaders = new Map<string, string>();
    const headers: string[] = [];
    let repeatsSingleton = false;
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = (raw[i] as string).toLowerCase();
        const value = raw[i + 1] as string;
        const isForDaemon = isDaemonHeader(name, rules);
        repeatsSingleton ||= byName.has(name) && (isForDaemon || singletonHeaders.test(name));
        byName.set(name, value);
        if (isForDaemon) {
            daemonHeaders.set(name, value);
        }
        if (
            !isStripped(name, connectionOptions) &&
            (rules.forwardsHost || name !== "host") &&
            !rules.isReserved(name)
        ) {
            headers.push(name, value);
        }
    }
    const length = byName.get("content-length");
    const encoding = byName.get("transfer-encoding");
    if (
        raw.length > 2 * maxHeaders ||
        repeatsSingleton ||
        [...connectionOptions].some(name => forbiddenConnectionOptions.test(name)) ||
        (length !== undefined && (encoding !== undefined || !/^\d{1,15}$/.test(length))) ||
        (encoding !== undefined && encoding.toLowerCase() !== "chunked")
    ) {
        return Left(refusal(RefusalReason.Malformed));
    }
    return Right({
        headers,
        daemonHeaders,
        hostName: (byName.get("host") ?? "").replace(/:\d+$/, "").toLowerCase(),
        hasBody: encoding !== undefined || Number(length ?? 0) > 0,
        declaredBytes: length === undefined ? undefined : Number(length),
    });
}

function isDaemonHeader(name: string, { callIdHeader, deadlineHeader }: HeaderRules): boolean {
    return (
        name === callIdHeader ||
        name === deadlineHeader ||
        name === "traceparent" ||
        name.startsWith(daemonPrefix)
    );
}

/** Selects the response headers to forward. Hop-by-hop and daemon headers are removed unless listed in `preserved`. */
export function responseHeaders(raw: readonly string[], preserved: ReadonlySet<string>): string[] {
    const connectionOptions = connectionOptionsOf(raw);
    const headers: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = (raw[i] as string).toLowerCase();
        if (preserved.has(name) || !isStripped(name, connectionOptions)) {
            headers.push(name, raw[i + 1] as string);
        }
    }
    return headers;
}

/** Value of the first header with the name, which must be in lower case. */
export function headerValue(raw: readonly string[], name: string): string | undefined {
    for (let i = 0; i + 1 < raw.length; i += 2) {
        // Comparing lengths first avoids most conversions to lower case.
        if (raw[i]?.length === name.length && raw[i]?.toLowerCase() === name) {
            return raw[i + 1];
        }
    }
    return undefined;
}

/** Values of all headers with the name, which must be in lower case. */
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

function isStripped(name: string, options: ReadonlySet<string>): boolean {
    return hopByHop.has(name) || options.has(name) || name.startsWith(daemonPrefix) || name === "traceparent";
}

const noConnectionOptions: ReadonlySet<string> = new Set();

/** Header names that the `connection` headers list, in lower case. */
function connectionOptionsOf(raw: readonly string[]): ReadonlySet<string> {
    let names = noConnectionOptions;
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const value = raw[i + 1] as string;
        // Nearly every `connection` header has one of these values, which are no names of headers to forward.
        const isCommon = value === "keep-alive" || value === "close";
        if (!isCommon && isConnectionHeader(raw[i] as string)) {
            names = new Set([...names, ...value.split(",").map(part => part.trim().toLowerCase())]);
        }
    }
    return names;
}

function isConnectionHeader(name: string): boolean {
    return name.length === "connection".length && name.toLowerCase() === "connection";
}
