import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { ResolvedSettings } from "../../settings/settings.js";
import { Access } from "./exchange.js";

/** Returns whether the request carries a token that gives the access. */
export function mayAccess(access: Access, request: IncomingMessage, keys: ResolvedSettings["keys"]): boolean {
    return accessChecks[access](presentedToken(request), keys);
}

const accessChecks = {
    [Access.Anyone]: () => true,
    [Access.Operator]: (token, keys) => isOneOf(token, keys.operator),
    [Access.BackendServer]: (token, keys) => isOneOf(token, keys.backendServer),
} satisfies Record<Access, (token: string, keys: ResolvedSettings["keys"]) => boolean>;

function presentedToken(request: IncomingMessage): string {
    return /^Bearer +(\S+)$/i.exec(request.headers.authorization ?? "")?.[1] ?? "";
}

/** Compares with every valid token, in a time that depends on neither content nor position. */
function isOneOf(token: string, valid: readonly string[]): boolean {
    return valid.map(key => equalSecrets(key, token)).includes(true);
}

function equalSecrets(a: string, b: string): boolean {
    const digest = (text: string) => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(a), digest(b));
}
