import type { PlatformBoard, StoredRow } from "./board.js";
import { holdConditions, type Conditions } from "./conditions.js";

export interface Transaction {
    /** Rows that must still have these tags. */
    readonly unchanged: readonly { readonly key: string; readonly tag: string }[];
    /** Without a tag the row must not exist. */
    readonly write: { readonly key: string; readonly row: unknown; readonly tag?: string };
}

export interface Table {
    /** The row as a reader sees it, which may be an earlier one. */
    read(key: string): StoredRow | undefined;
    list(prefix: string, after: string): readonly (StoredRow & { readonly key: string })[];
    /** Returns the new tag, or `undefined` when a condition does not hold. */
    write(key: string, row: unknown, conditions: Conditions): string | undefined;
    commit(transaction: Transaction): string | undefined;
}

/** Earlier contents kept of each row, for stale reads. */
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

    function store(key: string, row: unknown): string {
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
            holdConditions(conditions, currentTag(key)) ? store(key, row) : undefined,
        commit({ unchanged, write }) {
            const holds =
                unchanged.every(check => currentTag(check.key) === check.tag) &&
                currentTag(write.key) === write.tag;
            return holds ? store(write.key, write.row) : undefined;
        },
    };
}
