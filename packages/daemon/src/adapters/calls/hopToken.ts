import { createHmac, timingSafeEqual } from "node:crypto";
import { hopValidityMs } from "./constants.js";

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
}

/** Builds the `tanagertray-hop` header: attempt id, timestamp and HMAC-SHA-256. */
export function signHop(claims: HopClaims, key: string, now: number): string {
    return `${claims.attemptId};${now};${macOf(claims, key, String(now)).toString("hex")}`;
}

const tokenPattern = /^([0-9a-f-]{36});(\d{1,16});([0-9a-f]{64})$/;

/** Returns the attempt id of a valid header. Every key is tried, so the time does not tell which one fits. */
export function verifyHop(
    header: string,
    claims: Omit<HopClaims, "attemptId">,
    keys: readonly string[],
    now: number,
): string | undefined {
    const [, attemptId = "", timestamp = "", mac = ""] = tokenPattern.exec(header) ?? [];
    if (attemptId === "" || Math.abs(now - Number(timestamp)) > hopValidityMs) {
        return undefined;
    }
    const given = Buffer.from(mac, "hex");
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
    ];
    return createHmac("sha256", key).update(JSON.stringify(fields)).digest();
}
