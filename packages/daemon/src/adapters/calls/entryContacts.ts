import type { CallerContact, EntryContact } from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createCancellation } from "./cancellation.js";
import { maxHopConnections, probeSilenceMs, unusedPoolTimeoutMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { DispositionKind } from "./disposition.js";
import { exchange } from "./exchange.js";
import { headerValue } from "./headers.js";
import { attemptHeader } from "./hopToken.js";
import { decodePollAge, earliestMessageArrival, encodePollAge, pollAgeHeader } from "./incoming.js";

/** Request header in which an entry daemon names its host. The HMAC of a hop does not cover it. */
export const entryHostHeader = "tanagertray-entry";
/** Request target of a probe on the peer listener. */
export const probePath = "/tanagertray-probe";
const probeIdPattern = /^[0-9a-f-]{36}$/;
const probeStatus = 204;

/** What this daemon knows of the callers whose calls other daemons sent here. */
export interface EntryContacts {
    /** Notes that a call of the host has been read, whose caller was connected at `seenAt`. */
    noteCall(call: { readonly host: string; readonly seenAt: number }): CallerContact;
    /** Sends a probe to the host of the contact, and calls the listener after its answer. Ignored while one is in flight. */
    probe(contact: EntryContact, onAnswer: () => void): void;
    close(): void;
}

interface KnownEntry {
    readonly host: string;
    readonly contact: { confirmedAt: number };
    isProbed: boolean;
}

type ContactsContext = Pick<CallContext, "arrivals" | "board" | "now" | "pools" | "telemetry" | "timers">;

/** Records until when entry daemons are known to have noticed the callers that left, and probes the silent ones. */
export function createEntryContacts(context: ContactsContext): EntryContacts {
    const { board, now, telemetry } = context;
    const entries = new Map<string, KnownEntry>();
    const entryByContact = new WeakMap<EntryContact, KnownEntry>();
    const probeCancellation = createCancellation();
    let lastExpiryAt = now();

    const addressOf = (host: string) => board.read("membership").records.get(host)?.peerAddress;

    function entryOf(host: string): KnownEntry {
        const known = entries.get(host);
        if (known !== undefined) {
            return known;
        }
        const entry: KnownEntry = { host, contact: { confirmedAt: -Infinity }, isProbed: false };
        entries.set(host, entry);
        entryByContact.set(entry.contact, entry);
        return entry;
    }

    function confirm({ contact }: KnownEntry, confirmedAt: number): void {
        contact.confirmedAt = Math.max(contact.confirmedAt, confirmedAt);
    }

    async function sendProbe(entry: KnownEntry, address: string, onAnswer: () => void): Promise<void> {
        entry.isProbed = true;
        const { host, contact } = entry;
        const sentAt = now();
        const silentMs = Math.round(sentAt - contact.confirmedAt);
        const answeredAt = await askForPoll(address);
        entry.isProbed = false;
        const answered = answeredAt !== undefined;
        telemetry.event("call.entryProbed", "debug", { host, silentMs, tookMs: now() - sentAt, answered });
        if (answered) {
            // The answer follows a poll that came after the probe.
            confirm(entry, Math.max(sentAt, answeredAt));
            onAnswer();
        }
    }

    /** Asks the daemon to poll its connections, and returns the earliest time of that poll; `undefined` without an answer. */
    async function askForPoll(address: string): Promise<number | undefined> {
        const id = randomUUID();
        let polledAt: number | undefined;
        await exchange({
            connections: context.pools.get(address, maxHopConnections),
            id,
            idHeader: attemptHeader,
            requiresEchoedId: true,
            method: "GET",
            path: probePath,
            headers: [attemptHeader, id],
            body: null,
            cancellation: probeCancellation,
            timers: context.timers,
            headIdleTimeoutMs: probeSilenceMs,
            mayWrite: () => true,
            onInformationalResponse: () => undefined,
            onHead(status, raw) {
                if (status === probeStatus) {
                    polledAt =
                        earliestMessageArrival(context) - decodePollAge(headerValue(raw, pollAgeHeader));
                }
                return { kind: DispositionKind.Drop };
            },
        });
        return polledAt;
    }

    function removeUnused(): void {
        const unusedSince = now() - unusedPoolTimeoutMs;
        if (lastExpiryAt > unusedSince) {
            return;
        }
        lastExpiryAt = now();
        for (const [host, { contact, isProbed }] of entries) {
            if (!isProbed && contact.confirmedAt < unusedSince) {
                entries.delete(host);
            }
        }
    }

    const subscription = board.observe(["clock"], removeUnused);
    return {
        noteCall({ host, seenAt }) {
            const entry = entryOf(host);
            confirm(entry, seenAt);
            return { entry: entry.contact, seenAt, watchedSince: -Infinity };
        },
        probe(contact, onAnswer) {
            const entry = entryByContact.get(contact);
            const address = entry === undefined ? undefined : addressOf(entry.host);
            if (entry !== undefined && address !== undefined && !entry.isProbed) {
                void sendProbe(entry, address, onAnswer);
            }
        },
        close() {
            subscription.close();
            probeCancellation.cancel(new Error("the daemon is closing"));
        },
    };
}

/**
 * Answers a probe after the closes of callers that arrived before it have been read, so that the calls of these callers
 * are cancelled first.
 */
export async function answerProbe(
    context: Pick<CallContext, "arrivals" | "now">,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const id = String(request.headers[attemptHeader]);
    const poll = await context.arrivals.nextPoll();
    const echoedId = probeIdPattern.test(id) ? [attemptHeader, id] : [];
    response.writeHead(probeStatus, [...echoedId, ...encodePollAge(context, poll)]).end();
}
