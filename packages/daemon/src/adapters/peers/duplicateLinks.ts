import { Role } from "./handshake.js";
import type { Link } from "./link.js";

/**
 * Whether a new link to a host replaces the open one. When both hosts dialed each other, both sides keep the link dialed
 * by the host whose name sorts first. A second link from the same dialer replaces the first, because the dialer only
 * dials again after it has lost that one.
 */
export function replacesOpenLink(next: Link, open: Link | undefined, ownHost: string): boolean {
    if (open === undefined || open.role === next.role) {
        return true;
    }
    const nextDialer = next.role === Role.Dialer ? ownHost : (next.peer?.host ?? "");
    const openDialer = next.role === Role.Dialer ? (next.peer?.host ?? "") : ownHost;
    return nextDialer < openDialer;
}
