import { createHmac, timingSafeEqual } from "node:crypto";
import type { PeerKeys } from "../peers/handshake.js";
import { hopTokenValidityMs } from "./constants.js";

/** What the HMAC of a hop covers, in this order. */
export interface HopClaims {
    /** Names this attempt; the fate of a call is asked by it. */
    readonly attemptId: string;
    readonly callId: string;
    readonly caller: string;
    readonly partner: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly deadlineMs: string;
    /** Value of the route header, when there is one. */
    readonly route: string | undefined;
}

/** Builds the `tanagertray-hop` header: attempt id, timestamp and, with a key, HMAC-SHA-256. */
export function signHop(claims: HopClaims, key: string | undefined, now: number): string {
    const mac = key === undefined ? "" : macOf(claims, key, String(now)).toString("hex");
    return `${claims.attemptId};${now};${mac}`;
}

/** Header by which the response to a hop repeats the attempt id. */
export const attemptHeader = "tanagertray-attempt-id";

/**
 * Attempt id that a header claims, for the response to it alone: an unsigned or forged one only names the response
 * that goes back on the same connection. Undefined when the header is malformed.
 */
export function claimedAttemptId(header: string): string | undefined {
    return tokenPattern.exec(header)?.[1];
}

const tokenPattern = /^([0-9a-f-]{36});(\d{1,16});([0-9a-f]{64})?$/;

/**
 * Returns the attempt id of a valid header. Every key is tried, so the time does not tell which one fits. In a
 * trusted network there are no keys, and the header only has to be well formed.
 */
export function verifyHop(
    header: string,
    claims: Omit<HopClaims, "attemptId">,
    keys: PeerKeys,
    now: number,
): string | undefined {
    const [, attemptId = "", timestamp = "", mac = ""] = tokenPattern.exec(header) ?? [];
    if (attemptId === "" || Math.abs(now - Number(timestamp)) > hopTokenValidityMs) {
        return undefined;
    }
    if (keys === undefined) {
        return attemptId;
    }
    const given = Buffer.from(mac, "hex");
    if (given.length === 0) {
        return undefined;
    }
    const fitting = keys.filter(key =>
        timingSafeEqual(macOf({ ...claims, attemptId }, key, timestamp), given),
    );
    return fitting.length > 0 ? attemptId : undefined;
}

function macOf(claims: HopClaims, key: string, timestamp: string): Buffer {
    const fields = [
        claims.attemptId,
        claims.callId,
        claims.caller,
        claims.partner,
        claims.service,
        claims.method,
        claims.path,
        claims.deadlineMs,
        timestamp,
        ...(claims.route === undefined ? [] : [claims.route]),
    ];
    return createHmac("sha256", key).update(JSON.stringify(fields)).digest();
}
