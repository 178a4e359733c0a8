import { isIPv4, isIPv6 } from "node:net";
import { maxPort } from "./constants.js";

/**
 * Returns whether a string is an IP address with a port.
 *
 * @example
 * ```ts
 * isEndpoint("10.0.0.1:8080"); // true
 * isEndpoint("[::1]:8080"); // true
 * isEndpoint("10.0.0.1:70000"); // false
 * ```
 */
export function isEndpoint(text: string): boolean {
    const [, address = "", port = ""] = /^(.+):([1-9]\d{0,4})$/.exec(text) ?? [];
    const bracketed = /^\[(.+)\]$/.exec(address)?.[1];
    const isAddress = bracketed === undefined ? isIPv4(address) : isIPv6(bracketed);
    return isAddress && Number(port) <= maxPort;
}
