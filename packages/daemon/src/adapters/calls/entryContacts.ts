import type { EntryContact } from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createCancellation, type Cancellation } from "./cancellation.js";
import { maxHopConnections, probeSilenceMs, unusedPoolTimeoutMs } from "./constants.js";
import type { CallContext } from "./context.js";
import { DispositionKind } from "./disposition.js";
import { exchange } from "./exchange.js";
import { attemptHeader } from "./hopToken.js";

/** Request header in which an entry daemon names its host. The HMAC of a hop does not cover it. */
export const entryHostHeader = "tanagertray-entry";
/** Request target of a probe on the peer listener. */
export const probePath = "/tanagertray-probe";
const probeIdPattern = /^[0-9a-f-]{36}$/;

/** When this daemon last heard from the daemons whose calls wait here. */
export interface EntryContacts {
    /** Contact of a host; `undefined` if its address is not known, so that it cannot be asked. */
    of(host: string | undefined): EntryContact | undefined;
    /** Notes that a message of the host has been read. */
    noteMessage(host: string | undefined): void;
    /** Sends a probe to the host of the contact, and calls the listener after its answer. Ignored while one is in flight. */
    probe(contact: EntryContact, onAnswer: () => void): void;
    close(): void;
}

interface KnownEntry {
    readonly host: string;
    readonly contact: EntryContact;
    isProbed: boolean;
}

type ContactsContext = Pick<CallContext, "board" | "now" | "pools" | "telemetry" | "timers">;

/** Records when entry daemons were heard, and probes the silent ones. */
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
        const entry: KnownEntry = { host, contact: { heardAt: now() }, isProbed: false };
        entries.set(host, entry);
        entryByContact.set(entry.contact, entry);
        return entry;
    }

    async function sendProbe(entry: KnownEntry, onAnswer: () => void): Promise<void> {
        entry.isProbed = true;
        const { host, contact } = entry;
        const address = addressOf(host);
        const sentAt = now();
        const silentMs = sentAt - contact.heardAt;
        const isSilent = address !== undefined && (await isUnanswered(context, address, probeCancellation));
        entry.isProbed = false;
        telemetry.event("call.entryProbed", "debug", {
            host,
            silentMs,
            tookMs: now() - sentAt,
            answered: !isSilent,
        });
        if (!isSilent) {
            contact.heardAt = now();
            onAnswer();
        }
    }

    function removeUnused(): void {
        const unusedSince = now() - unusedPoolTimeoutMs;
        if (lastExpiryAt > unusedSince) {
            return;
        }
        lastExpiryAt = now();
        for (const [host, { contact, isProbed }] of entries) {
            if (!isProbed && contact.heardAt < unusedSince) {
                entries.delete(host);
            }
        }
    }

    const subscription = board.observe(["clock"], removeUnused);
    return {
        of: host => (host === undefined || addressOf(host) === undefined ? undefined : entryOf(host).contact),
        noteMessage(host = "") {
            const contact = entries.get(host)?.contact;
            if (contact !== undefined) {
                contact.heardAt = now();
            }
        },
        probe(contact, onAnswer) {
            const entry = entryByContact.get(contact);
            if (entry !== undefined && !entry.isProbed) {
                void sendProbe(entry, onAnswer);
            }
        },
        close() {
            subscription.close();
            probeCancellation.cancel(new Error("the daemon is closing"));
        },
    };
}

/** Whether the daemon at the address accepts a probe and then stays silent. */
async function isUnanswered(
    { pools, timers }: ContactsContext,
    address: string,
    cancellation: Cancellation,
): Promise<boolean> {
    const id = randomUUID();
    const { silent } = await exchange({
        connections: pools.get(address, maxHopConnections),
        id,
        idHeader: attemptHeader,
        requiresEchoedId: true,
        method: "GET",
        path: probePath,
        headers: [attemptHeader, id],
        body: null,
        cancellation,
        timers,
        headIdleTimeoutMs: probeSilenceMs,
        mayWrite: () => true,
        onInformationalResponse: () => undefined,
        onHead: () => ({ kind: DispositionKind.Drop }),
    });
    return silent;
}

/**
 * Answers a probe after the closes of callers that arrived before it have been read, so that the calls of these callers
 * are cancelled first.
 */
export async function answerProbe(
    { arrivals }: Pick<CallContext, "arrivals">,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const id = String(request.headers[attemptHeader]);
    await arrivals.nextPoll();
    response.writeHead(204, probeIdPattern.test(id) ? { [attemptHeader]: id } : {}).end();
}
