import { createHmac, timingSafeEqual } from "node:crypto";
import type { PeerKeys } from "../peers/handshake.js";
import { hopTokenValidityMs } from "./constants.js";

/** Fields that the HMAC of a hop covers. Their order is part of the protocol. */
export interface HopClaims {
    /** Identifies this attempt, also in fate requests. */
    readonly attemptId: string;
    readonly callId: string;
    readonly caller: string;
    readonly partner: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly deadlineMs: string;
    /** Value of the route header, if present. */
    readonly route: string | undefined;
}

/** Builds the `tanagertray-hop` header: attempt id, timestamp and, with a key, HMAC-SHA-256. */
export function signHop(claims: HopClaims, key: string | undefined, now: number): string {
    const mac = key === undefined ? "" : computeMac(claims, key, String(now)).toString("hex");
    return `${claims.attemptId};${now};${mac}`;
}

/** Response header of a hop that repeats the attempt id. */
export const attemptHeader = "tanagertray-attempt-id";

/**
 * Reads the attempt id without verification, or `undefined` from a malformed header. Use it only to label the response
 * to the same request, where a forged id has no effect beyond that connection.
 */
export function claimedAttemptId(header: string): string | undefined {
    return tokenPattern.exec(header)?.[1];
}

const tokenPattern = /^([0-9a-f-]{36});(\d{1,16});([0-9a-f]{64})?$/;

/**
 * Returns the attempt id of a valid header. Compares the HMAC with every key, so that the duration does not reveal which
 * key matched. A trusted network has no keys; there the header only has to be well-formed and recent.
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
    const receivedMac = Buffer.from(mac, "hex");
    if (receivedMac.length === 0) {
        return undefined;
    }
    const matchingKeys = keys.filter(key =>
        timingSafeEqual(computeMac({ ...claims, attemptId }, key, timestamp), receivedMac),
    );
    return matchingKeys.length > 0 ? attemptId : undefined;
}

function computeMac(claims: HopClaims, key: string, timestamp: string): Buffer {
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
