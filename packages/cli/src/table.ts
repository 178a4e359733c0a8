/**
 * Formats rows as columns separated by two spaces.
 *
 * @example
 * ```ts
 * formatTable(["host", "version"], [["h1", 3]]); // "host  version\nh1    3\n"
 * ```
 */
export function formatTable(titles: readonly string[], rows: readonly (readonly unknown[])[]): string {
    const lines = [titles, ...rows].map(row => row.map(formatCell));
    const widths = titles.map((_title, column) =>
        Math.max(...lines.map(line => (line[column] ?? "").length)),
    );
    return lines
        .map(
            line =>
                `${line
                    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
                    .join("  ")
                    .trimEnd()}\n`,
        )
        .join("");
}

/** Replaces control characters with spaces, so that untrusted names cannot send escape sequences to the terminal. */
function formatCell(value: unknown): string {
    return String(value ?? "").replace(/[\x00-\x1f\x7f-\x9f]/g, " ");
}

/** Formats milliseconds since the epoch as UTC. */
export function formatTime(ms: number): string {
    return Number.isFinite(ms) ? `${new Date(ms).toISOString().slice(0, 19)}Z` : "";
}
