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

/** Replaces hashes and row tags by numbers in the order of their first appearance. */
function normalise(lines: readonly string[]): string {
    const names = new Map<string, string>();
    const nameOf = (hash: string) => {
        const name = names.get(hash) ?? `hash-${names.size + 1}`;
        names.set(hash, name);
        return name;
    };
    return `${lines.join("\n").replace(/[0-9a-f]{64}/g, nameOf)}\n`;
}

/** The message as text, with the bytes of parts left out. */
function describe(value: unknown): string {
    const shorten = (key: string, field: unknown) =>
        key === "bytes" ? undefined : key === "entries" ? Object.keys(field as object).length : field;
    return JSON.stringify(value, shorten);
}

function createOperators() {
    const platform = createFakePlatform();
    const lines: string[] = [];
    const step = (operator: string, request: PlatformRequest, fault?: Fault): PlatformResult => {
        const result = platform.answer(request, fault);
        const isObject = request.operation === PlatformOperation.ReadObject;
        lines.push(
            `${operator} -> ${describe(request)}`,
            `${operator} <- ${isObject ? result.answer : describe(result)}`,
        );
        return result;
    };
    /** Runs a command. `before` acts just before its first write of a row. */
    function run<S, R>(
        operator: string,
        first: Progress<S, R>,
        advance: (state: S, result: PlatformResult) => Progress<S, R>,
        options: { faults?: readonly Fault[]; before?: () => void } = {},
    ): void {
        let progress = first;
        let { before } = options;
        for (let i = 0; !progress.done; i += 1) {
            if (progress.next.operation === PlatformOperation.WriteRow) {
                before?.();
                before = undefined;
            }
            progress = advance(progress.state, step(operator, progress.next, options.faults?.[i]));
        }
        const { outcome } = progress;
        lines.push(
            `${operator} ${outcome.isRight() ? "done" : "failed"}: ${describe(outcome.extract())}`,
            "",
        );
    }
    type Options = Parameters<typeof run>[3];
    const own = (operator: string, id: string) => ({ operator, writeId: `${operator}-${id}`, now: 0 });
    const storedHashes = new Set<string>();
    return {
        lines,
        submit: (operator: string, content: number, options?: Options) => {
            const request = {
                ...own(operator, `submit-${content}`),
                answers: makeAnswers(content),
                storedHashes,
            };
            run(operator, startSubmission(request), advanceSubmission, options);
        },
        accept: (operator: string, revision: number, options?: Options) =>
            run(
                operator,
                startAcceptance({ ...own(operator, `accept-${revision}`), revision }),
                advanceAcceptance,
                options,
            ),
        reject: (operator: string, revision: number) =>
            run(
                operator,
                startRejection({ ...own(operator, `reject-${revision}`), revision }),
                advanceRejection,
            ),
        diff: (operator: string, revision: number) =>
            run(operator, startComparison(revision), advanceComparison),
        list: (operator: string) => run(operator, startListing(), advanceListing),
    };
}

function operatorSession(act: (operators: ReturnType<typeof createOperators>) => void): () => string {
    return () => {
        const operators = createOperators();
        act(operators);
        return normalise(operators.lines);
    };
}

/** Messages and platform requests of one host. A heartbeat that repeats the version is left out. */
function hostSession(host: string, spread: Spread, act: (fleet: Fleet) => void): () => string {
    return () => {
        const lines: string[] = [];
        const seen = new Set<string>();
        let start = 0;
        const fleet = createFleet(spread, 1);
        fleet.injected.trace = (now, line, value) => {
            start ||= now;
            const text = `${line} ${describe(value)}`;
            const isRepeated = seen.has(text) && /heartbeat|readRow/.test(text);
            seen.add(text);
            if (line.split(" ").includes(host) && !isRepeated) {
                lines.push(`${String(Math.round(now - start)).padStart(6)} ms ${text}`);
            }
        };
        act(fleet);
        return normalise(lines);
    };
}

const start = (fleet: Fleet) => {
    fleet.run(1_000);
    fleet.submitChange("a0", 1, "dana-submit-1");
    fleet.run(3_000);
};

const update = (fleet: Fleet) => {
    start(fleet);
    fleet.submitChange("a0", 2, "dana-submit-2");
    fleet.run(3_000);
};

/** Whole sessions by the name of their file. */
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
    "host-join-eager": hostSession("b1", Spread.Eager, start),
    "host-join-lazy": hostSession("b1", Spread.Lazy, start),
    "host-update-eager": hostSession("b1", Spread.Eager, update),
    "host-update-lazy": hostSession("b1", Spread.Lazy, update),
    "host-restart": hostSession("b1", Spread.Eager, fleet => {
        update(fleet);
        fleet.kill("b1");
        fleet.run(1_000);
        fleet.revive("b1");
        fleet.run(3_000);
    }),
};
