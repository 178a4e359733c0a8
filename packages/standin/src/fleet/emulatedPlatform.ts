import {
    canonicalBytes,
    headKey,
    manifestHashOf,
    PlatformAnswer,
    PlatformOperation,
    type GeneratedConfiguration,
    type Head,
    type Location,
    type PlatformRequest,
    type PlatformResult,
    type TaggedRow,
} from "@tanagertray/core";
import type { PlatformTransport } from "@tanagertray/daemon/adapters/platform/platformClient";
import type { EventQueue } from "./eventQueue.js";
import type { Network } from "./network.js";

/** The table service and the object store of an emulated fleet, in virtual time. */
export interface EmulatedPlatform {
    createTransport(location: Location): PlatformTransport;
    /** Makes a version the accepted one. */
    accept(configuration: GeneratedConfiguration): void;
    /** Rows of the table service, by key. */
    readonly rows: ReadonlyMap<string, TaggedRow>;
    /** Requests by operation, including those that got no answer. */
    readonly requests: ReadonlyMap<PlatformOperation, number>;
}

export interface EmulatedPlatformOptions {
    readonly queue: EventQueue;
    readonly network: Network;
    /**
     * Whether requests of the host reach the platform.
     * @default () => true
     */
    readonly isReachable?: (from: Location) => boolean;
}

/** Time after which a request without an answer is given up, beside the time for which it may be held, in milliseconds. */
const answerTimeoutMs = 1_000;

type RequestOf<K> = Extract<PlatformRequest, { operation: K }>;
type Handler<K> = (request: RequestOf<K>, answer: (result: PlatformResult) => void) => void;

export function createEmulatedPlatform(options: EmulatedPlatformOptions): EmulatedPlatform {
    const { queue, network, isReachable = () => true } = options;
    const rows = new Map<string, TaggedRow>();
    const objects = new Map<string, Uint8Array>();
    const requests = new Map<PlatformOperation, number>();
    const headWatchers = new Set<() => void>();
    let writes = 0;

    function writeRow(key: string, row: unknown): string {
        writes += 1;
        const tag = String(writes);
        rows.set(key, { key, tag, row });
        return tag;
    }

    const readRow = (key: string): PlatformResult => {
        const row = rows.get(key);
        return row === undefined
            ? { answer: PlatformAnswer.Missing }
            : { answer: PlatformAnswer.Row, row: row.row, tag: row.tag };
    };

    const handlers: { [K in PlatformOperation]: Handler<K> } = {
        [PlatformOperation.ReadRow]: ({ key, knownTag, waitMs = 0 }, answer) => {
            if (rows.get(key)?.tag !== knownTag || waitMs === 0) {
                return answer(readRow(key));
            }
            // Answers when the row changes, or after the time that the request may wait.
            const finish = () => {
                if (headWatchers.delete(finish)) {
                    const isUnchanged = knownTag !== undefined && rows.get(key)?.tag === knownTag;
                    answer(isUnchanged ? { answer: PlatformAnswer.Unchanged } : readRow(key));
                }
            };
            headWatchers.add(finish);
            queue.schedule(queue.now() + waitMs, finish);
        },
        [PlatformOperation.WriteRow]: ({ key, row, expectedTag }, answer) => {
            const isExpected = rows.get(key)?.tag === expectedTag;
            answer(
                isExpected
                    ? { answer: PlatformAnswer.Written, tag: writeRow(key, row) }
                    : { answer: PlatformAnswer.Conflict },
            );
        },
        [PlatformOperation.ListRows]: ({ prefix, after = "" }, answer) =>
            answer({
                answer: PlatformAnswer.Rows,
                rows: [...rows.values()].filter(({ key }) => key.startsWith(prefix) && key > after),
            }),
        [PlatformOperation.ReadObject]: ({ hash }, answer) => {
            const bytes = objects.get(hash);
            answer(
                bytes === undefined
                    ? { answer: PlatformAnswer.Missing }
                    : { answer: PlatformAnswer.Object, bytes, related: objects },
            );
        },
        [PlatformOperation.WriteObject]: (_request, answer) =>
            answer({ answer: PlatformAnswer.Refused, message: "the objects are read-only" }),
    };

    function send(from: Location, request: PlatformRequest): Promise<PlatformResult> {
        requests.set(request.operation, (requests.get(request.operation) ?? 0) + 1);
        const oneWayMs = network.platformRoundTripMs(from) / 2;
        return new Promise(resolve => {
            if (!isReachable(from)) {
                const lost = { answer: PlatformAnswer.Lost, message: "no answer" } as const;
                const { waitMs = 0 } = request as { readonly waitMs?: number };
                return queue.schedule(queue.now() + waitMs + answerTimeoutMs, () => resolve(lost));
            }
            const answer = (result: PlatformResult) =>
                queue.schedule(queue.now() + oneWayMs, () =>
                    resolve(isReachable(from) ? result : { answer: PlatformAnswer.Lost, message: "cut off" }),
                );
            queue.schedule(queue.now() + oneWayMs, () =>
                (handlers[request.operation] as Handler<PlatformOperation>)(request as never, answer),
            );
        });
    }

    return {
        rows,
        requests,
        createTransport: location => ({
            send: request => send(location, request),
            close: () => Promise.resolve(),
        }),
        accept({ manifest, parts }) {
            const manifestHash = manifestHashOf(manifest);
            objects.set(manifestHash, canonicalBytes(manifest));
            parts.forEach((bytes, hash) => objects.set(hash, bytes));
            const { version } = manifest;
            const change = { version, revision: version, manifestHash, operator: "emulated" };
            const accepted = { ...change, writeId: String(version), acceptedAt: queue.now() };
            const head: Head = { ...accepted, token: version, history: [accepted] };
            writeRow(headKey, head);
            [...headWatchers].forEach(finish => finish());
        },
    };
}
