import { Role } from "./handshake.js";
import type { Link } from "./link.js";

/**
 * Whether a new link to a host replaces the open one. When both hosts connected at once, the link dialed by the
 * host whose name sorts first stays, on both sides. A second link from the same dialer replaces the first,
 * which the dialer has lost.
 */
export function replaces(next: Link, open: Link | undefined, self: string): boolean {
    if (open === undefined || open.role === next.role) {
        return true;
    }
    const dialer = next.role === Role.Dialer ? self : (next.peer?.host ?? "");
    const other = next.role === Role.Dialer ? (next.peer?.host ?? "") : self;
    return dialer < other;
}
