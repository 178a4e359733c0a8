import type { PlatformBoard, StoredRow } from "./board.js";
import { meetsConditions, type Conditions } from "./conditionalRequests.js";

export interface Transaction {
    /** Rows that must still have these entity tags. */
    readonly unchanged: readonly { readonly key: string; readonly tag: string }[];
    /** Row to write, which must have the given tag, or must not exist if no tag is given. */
    readonly write: { readonly key: string; readonly row: unknown; readonly tag?: string };
}

export interface Table {
    /** Returns the row as a reader sees it; with the fault `staleWrites` this is an earlier version. */
    read(key: string): StoredRow | undefined;
    list(prefix: string, after: string): readonly (StoredRow & { readonly key: string })[];
    /** Returns the new entity tag, or `undefined` if a condition is not met. */
    write(key: string, row: unknown, conditions: Conditions): string | undefined;
    commit(transaction: Transaction): string | undefined;
}

/** Versions kept of each row, for stale reads. */
const maxRowHistory = 16;

/** Writes the `rows` section. */
export function createTable(board: PlatformBoard): Table {
    const section = board.claimValue("rows");
    const rows = new Map<string, readonly StoredRow[]>();
    let nextTag = 1;

    const currentTag = (key: string) => rows.get(key)?.at(-1)?.tag;

    function read(key: string): StoredRow | undefined {
        const history = rows.get(key) ?? [];
        return history[Math.max(0, history.length - 1 - board.read("faults").staleWrites)];
    }

    function storeRow(key: string, row: unknown): string {
        const tag = `"${nextTag++}"`;
        rows.set(key, [...(rows.get(key) ?? []), { tag, row }].slice(-maxRowHistory));
        section.write(rows);
        return tag;
    }

    return {
        read,
        list: (prefix, after) =>
            [...rows.keys()]
                .filter(key => key.startsWith(prefix) && key > after)
                .sort()
                .map(key => ({ key, ...(read(key) as StoredRow) })),
        write: (key, row, conditions) =>
            meetsConditions(conditions, currentTag(key)) ? storeRow(key, row) : undefined,
        commit({ unchanged, write }) {
            const conditionsMet =
                unchanged.every(expected => currentTag(expected.key) === expected.tag) &&
                currentTag(write.key) === write.tag;
            return conditionsMet ? storeRow(write.key, write.row) : undefined;
        },
    };
}
