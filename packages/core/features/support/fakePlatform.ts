import {
    PlatformAnswer,
    PlatformOperation,
    type PlatformRequest,
    type PlatformResult,
    type TaggedRow,
} from "@tanagertray/core";

export const Fault = {
    None: "none",
    /** The request takes effect and its answer is lost. */
    LostAfter: "lostAfter",
    /** The request never arrives. */
    LostBefore: "lostBefore",
    Refused: "refused",
    /** A read returns the row as it was before the last write. */
    Stale: "stale",
    /** The write takes effect only after the next request, and its answer is lost. */
    Delayed: "delayed",
    /** Another operator changes the same data just before the request arrives. */
    Rival: "rival",
} as const;
export type Fault = (typeof Fault)[keyof typeof Fault];

/** In-memory table service and object store that can apply a fault to each request. */
export interface FakePlatform {
    readonly writes: TaggedRow[];
    row(key: string): unknown;
    put(key: string, row: unknown): void;
    answer(request: PlatformRequest, fault?: Fault): PlatformResult;
}

type RequestOf<K> = Extract<PlatformRequest, { operation: K }>;

export function createFakePlatform(): FakePlatform {
    const rows = new Map<string, (TaggedRow | undefined)[]>();
    const objects = new Map<string, Uint8Array>();
    const writes: TaggedRow[] = [];
    const delayedWrites: PlatformRequest[] = [];
    let nextTag = 1;

    const current = (key: string) => rows.get(key)?.at(-1);

    function writeRow(key: string, row: unknown): string {
        const tagged = { key, row, tag: `"${nextTag++}"` };
        rows.set(key, [...(rows.get(key) ?? [undefined]), tagged]);
        writes.push(tagged);
        return tagged.tag;
    }

    const perform: { [K in PlatformOperation]: (request: RequestOf<K>, stale: boolean) => PlatformResult } = {
        [PlatformOperation.ReadRow]: ({ key }, stale) => {
            const found = stale ? rows.get(key)?.at(-2) : current(key);
            return found === undefined
                ? { answer: PlatformAnswer.Missing }
                : { answer: PlatformAnswer.Row, row: found.row, tag: found.tag };
        },
        [PlatformOperation.ListRows]: ({ prefix, after = "" }, stale) => {
            const found = [...rows.values()]
                .map(versions => versions.at(stale ? -2 : -1))
                .filter(row => row !== undefined && row.key.startsWith(prefix) && row.key > after);
            return { answer: PlatformAnswer.Rows, rows: found as TaggedRow[] };
        },
        [PlatformOperation.WriteRow]: ({ key, row, expectedTag, unchanged = [] }) => {
            const conditionsHold =
                current(key)?.tag === expectedTag &&
                unchanged.every(check => current(check.key)?.tag === check.tag);
            return conditionsHold
                ? { answer: PlatformAnswer.Written, tag: writeRow(key, row) }
                : { answer: PlatformAnswer.Conflict };
        },
        [PlatformOperation.ReadObject]: ({ hash }) => {
            const bytes = objects.get(hash);
            return bytes === undefined
                ? { answer: PlatformAnswer.Missing }
                : { answer: PlatformAnswer.Object, bytes };
        },
        [PlatformOperation.WriteObject]: ({ hash, bytes }) => {
            objects.set(hash, bytes);
            return { answer: PlatformAnswer.Written, tag: hash };
        },
    };

    const run = (request: PlatformRequest, stale = false) =>
        perform[request.operation](request as never, stale);
    const lost: PlatformResult = { answer: PlatformAnswer.Lost, message: "no answer" };
    const isWrite = (request: PlatformRequest) =>
        request.operation === PlatformOperation.WriteRow ||
        request.operation === PlatformOperation.WriteObject;

    const faults: Readonly<Record<Fault, (request: PlatformRequest) => PlatformResult>> = {
        [Fault.None]: request => run(request),
        [Fault.Rival]: request => run(request),
        [Fault.LostAfter]: request => {
            run(request);
            return lost;
        },
        [Fault.LostBefore]: () => lost,
        [Fault.Refused]: () => ({ answer: PlatformAnswer.Refused, message: "too many requests" }),
        [Fault.Stale]: request => run(request, true),
        [Fault.Delayed]: request => {
            if (isWrite(request)) {
                delayedWrites.push(request);
            }
            return lost;
        },
    };

    return {
        writes,
        row: key => current(key)?.row,
        put: (key, row) => void writeRow(key, row),
        answer(request, fault = Fault.None) {
            const overdueWrites = delayedWrites.splice(0);
            const result = faults[fault](request);
            overdueWrites.forEach(earlier => run(earlier));
            return result;
        },
    };
}
