import {
    advanceAcceptance,
    advanceComparison,
    advanceListing,
    advanceRejection,
    advanceSubmission,
    PlatformOperation,
    Spread,
    startAcceptance,
    startComparison,
    startListing,
    startRejection,
    startSubmission,
    type PlatformRequest,
    type PlatformResult,
    type Progress,
} from "@tanagertray/core";
import { createFakePlatform, Fault } from "./fakePlatform.js";
import { createFleet, type Fleet } from "./fleet.js";
import { makeAnswers } from "./versions.js";

/** Replaces each hash with a placeholder, numbered in the order of first appearance. */
function replaceHashes(lines: readonly string[]): string {
    const placeholders = new Map<string, string>();
    const placeholderOf = (hash: string) => {
        const placeholder = placeholders.get(hash) ?? `hash-${placeholders.size + 1}`;
        placeholders.set(hash, placeholder);
        return placeholder;
    };
    return `${lines.join("\n").replace(/[0-9a-f]{64}/g, placeholderOf)}\n`;
}

/** Formats a message as JSON, without the bytes of parts and with the number of entries of a manifest. */
function formatMessage(value: unknown): string {
    const omitContent = (key: string, field: unknown) =>
        key === "bytes" ? undefined : key === "entries" ? Object.keys(field as object).length : field;
    return JSON.stringify(value, omitContent);
}

function createOperatorCommands() {
    const platform = createFakePlatform();
    const lines: string[] = [];
    const send = (operator: string, request: PlatformRequest, fault?: Fault): PlatformResult => {
        const result = platform.answer(request, fault);
        const isObject = request.operation === PlatformOperation.ReadObject;
        lines.push(
            `${operator} -> ${formatMessage(request)}`,
            `${operator} <- ${isObject ? result.answer : formatMessage(result)}`,
        );
        return result;
    };
    /** Runs a command. `before` is called immediately before its first write of a row. */
    function run<S, R>(
        operator: string,
        start: Progress<S, R>,
        advance: (state: S, result: PlatformResult) => Progress<S, R>,
        options: { faults?: readonly Fault[]; before?: () => void } = {},
    ): void {
        let progress = start;
        let { before } = options;
        for (let i = 0; !progress.done; i += 1) {
            if (progress.next.operation === PlatformOperation.WriteRow) {
                before?.();
                before = undefined;
            }
            progress = advance(progress.state, send(operator, progress.next, options.faults?.[i]));
        }
        const { outcome } = progress;
        lines.push(
            `${operator} ${outcome.isRight() ? "done" : "failed"}: ${formatMessage(outcome.extract())}`,
            "",
        );
    }
    type Options = Parameters<typeof run>[3];
    const commandOf = (operator: string, id: string) => ({ operator, writeId: `${operator}-${id}`, now: 0 });
    const storedHashes = new Set<string>();
    return {
        lines,
        submit: (operator: string, content: number, options?: Options) => {
            const request = {
                ...commandOf(operator, `submit-${content}`),
                answers: makeAnswers(content),
                storedHashes,
            };
            run(operator, startSubmission(request), advanceSubmission, options);
        },
        accept: (operator: string, revision: number, options?: Options) =>
            run(
                operator,
                startAcceptance({ ...commandOf(operator, `accept-${revision}`), revision }),
                advanceAcceptance,
                options,
            ),
        reject: (operator: string, revision: number) =>
            run(
                operator,
                startRejection({ ...commandOf(operator, `reject-${revision}`), revision }),
                advanceRejection,
            ),
        diff: (operator: string, revision: number) =>
            run(operator, startComparison(revision), advanceComparison),
        list: (operator: string) => run(operator, startListing(), advanceListing),
    };
}

function operatorSession(
    runSession: (operators: ReturnType<typeof createOperatorCommands>) => void,
): () => string {
    return () => {
        const operators = createOperatorCommands();
        runSession(operators);
        return replaceHashes(operators.lines);
    };
}

/** Records the messages and platform requests of one host, without repeated heartbeats and reads of rows. */
function hostSession(host: string, spread: Spread, runSession: (fleet: Fleet) => void): () => string {
    return () => {
        const lines: string[] = [];
        const seenMessages = new Set<string>();
        let startedAt = 0;
        const fleet = createFleet(spread, 1);
        fleet.injected.trace = (now, line, value) => {
            startedAt ||= now;
            const text = `${line} ${formatMessage(value)}`;
            const isRepeated = seenMessages.has(text) && /heartbeat|readRow/.test(text);
            seenMessages.add(text);
            if (line.split(" ").includes(host) && !isRepeated) {
                lines.push(`${String(Math.round(now - startedAt)).padStart(6)} ms ${text}`);
            }
        };
        runSession(fleet);
        return replaceHashes(lines);
    };
}

const startFleet = (fleet: Fleet) => {
    fleet.run(1_000);
    fleet.submitChange("a0", 1, "dana-submit-1");
    fleet.run(3_000);
};

const updateFleet = (fleet: Fleet) => {
    startFleet(fleet);
    fleet.submitChange("a0", 2, "dana-submit-2");
    fleet.run(3_000);
};

/** Recorded sessions by the name of their golden file. */
export const sessions: Readonly<Record<string, () => string>> = {
    "operator-change": operatorSession(operators => {
        operators.submit("dana", 1);
        operators.accept("dana", 1);
        operators.submit("dana", 2);
        operators.diff("dana", 2);
        operators.accept("dana", 2);
        operators.list("dana");
    }),
    "operator-race": operatorSession(operators => {
        operators.submit("dana", 1);
        operators.submit("omar", 2);
        operators.accept("dana", 1, { before: () => operators.accept("omar", 2) });
        operators.list("dana");
    }),
    "operator-reject": operatorSession(operators => {
        operators.submit("dana", 1);
        operators.reject("omar", 1);
        operators.accept("dana", 1);
    }),
    "operator-roll-back": operatorSession(operators => {
        [1, 2, 1].forEach((content, i) => {
            operators.submit("dana", content);
            operators.accept("dana", i + 1);
        });
    }),
    "operator-outage": operatorSession(operators => {
        operators.submit("dana", 1, { faults: [Fault.LostBefore] });
        operators.submit("dana", 1);
        operators.accept("dana", 1, { faults: [Fault.None, Fault.None, Fault.LostAfter, Fault.LostBefore] });
    }),
    "host-join-eager": hostSession("b1", Spread.Eager, startFleet),
    "host-join-lazy": hostSession("b1", Spread.Lazy, startFleet),
    "host-update-eager": hostSession("b1", Spread.Eager, updateFleet),
    "host-update-lazy": hostSession("b1", Spread.Lazy, updateFleet),
    "host-restart": hostSession("b1", Spread.Eager, fleet => {
        updateFleet(fleet);
        fleet.kill("b1");
        fleet.run(1_000);
        fleet.revive("b1");
        fleet.run(3_000);
    }),
};
