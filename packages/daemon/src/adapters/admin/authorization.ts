import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { ResolvedSettings } from "../../settings/settings.js";
import { Access } from "./endpoint.js";

/** Returns whether the bearer token of a request permits the given access. */
export function isAuthorized(
    access: Access,
    request: IncomingMessage,
    keys: ResolvedSettings["keys"],
): boolean {
    return authorizers[access](readBearerToken(request), keys);
}

const authorizers = {
    [Access.Anyone]: () => true,
    [Access.Operator]: (token, keys) => matchesAnyToken(token, keys.operator),
    [Access.BackendServer]: (token, keys) => matchesAnyToken(token, keys.backendServer),
} satisfies Record<Access, (token: string, keys: ResolvedSettings["keys"]) => boolean>;

function readBearerToken(request: IncomingMessage): string {
    return /^Bearer +(\S+)$/i.exec(request.headers.authorization ?? "")?.[1] ?? "";
}

/** Compares with all valid tokens, so that the time does not reveal which one matched or how much of it. */
function matchesAnyToken(token: string, valid: readonly string[]): boolean {
    return valid.map(key => equalInConstantTime(key, token)).includes(true);
}

function equalInConstantTime(a: string, b: string): boolean {
    const digest = (text: string) => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(a), digest(b));
}
