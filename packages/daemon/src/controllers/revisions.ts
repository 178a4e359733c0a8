import {
    advanceAcceptance,
    advanceComparison,
    advanceListing,
    advanceRejection,
    advanceSubmission,
    generateConfiguration,
    PlatformAnswer,
    problem,
    ProblemCode,
    resolveAnswers,
    startAcceptance,
    startComparison,
    startListing,
    startRejection,
    startSubmission,
    unknownOutcomeProblem,
    type Answers,
    type PlatformReply,
    type Problem,
    type PlatformRequest,
    type PlatformResult,
    type Progress,
} from "@tanagertray/core";
import { Either, Left } from "purify-ts/Either";
import { randomUUID } from "node:crypto";
import { backoffMs } from "../backoff.js";
import {
    RevisionCommandKind,
    type Board,
    type RevisionCommand,
    type RevisionOutcome,
    type RevisionReply,
} from "../board.js";
import type { Closeable } from "../closeable.js";

/** Operator requests worked on at a time. */
const maxRunningCommands = 32;
/** Time after which a command without an outcome is given up, in milliseconds. The admin adapter waits 60 s. */
const commandDeadlineMs = 55_000;
/** Delay of the first request after one that the platform did not serve, in milliseconds. */
const firstRetryMs = 100;
/** Longest delay between two requests of a command, in milliseconds. */
const longestRetryMs = 2_000;

/** An exchange with the platform whose state is hidden behind the next request. */
type Exchange =
    | { readonly outcome: RevisionReply["outcome"] }
    | { readonly next: PlatformRequest; readonly advance: (result: PlatformResult) => Exchange };

interface Running {
    readonly advance: (result: PlatformResult) => Exchange;
    readonly startedAt: number;
    /** Requests in a row that the platform did not serve. */
    readonly failures: number;
    /** Request that waits for its time, if any. */
    readonly delayed?: { readonly request: PlatformRequest; readonly dueAt: number };
}

/** Carries operators' commands through the platform, one request at a time for each command. */
export function createRevisions(board: Board): Closeable {
    const io = board.claimFeed("revisionIo");
    const replies = board.claimFeed("revisionReplies");
    const running = new Map<string, Running>();
    const now = () => board.read("clock").now;

    function takeCommand(command: RevisionCommand): void {
        if (running.size >= maxRunningCommands) {
            const reason = problem(
                ProblemCode.Overloaded,
                `${maxRunningCommands} operator requests are in progress`,
                { nextStep: "nothing was changed; try again in a few seconds" },
            );
            replies.append({ id: command.id, outcome: Left(reason) });
            return;
        }
        proceed(command.id, handlers[command.kind](board, command), { startedAt: now(), failures: 0 });
    }

    function proceed(id: string, exchange: Exchange, run: { startedAt: number; failures: number }): void {
        if ("outcome" in exchange) {
            running.delete(id);
            replies.append({ id, outcome: exchange.outcome });
            return;
        }
        const { advance, next } = exchange;
        if (run.failures === 0) {
            running.set(id, { ...run, advance });
            io.append({ id, request: next });
            return;
        }
        const delay = backoffMs(run.failures, { firstMs: firstRetryMs, longestMs: longestRetryMs });
        running.set(id, { ...run, advance, delayed: { request: next, dueAt: now() + delay } });
    }

    function takeReply({ id, result }: PlatformReply): void {
        const run = running.get(id);
        if (run === undefined || run.delayed !== undefined) {
            return;
        }
        const failures = unserved.has(result.answer) ? run.failures + 1 : 0;
        proceed(id, run.advance(result), { startedAt: run.startedAt, failures });
    }

    function takeTick(): void {
        for (const [id, run] of running) {
            if (now() >= run.startedAt + commandDeadlineMs) {
                running.delete(id);
                replies.append({ id, outcome: Left(unknownOutcomeProblem("the command")) });
            } else if (run.delayed !== undefined && now() >= run.delayed.dueAt) {
                const { delayed, ...sent } = run;
                running.set(id, sent);
                io.append({ id, request: delayed.request });
            }
        }
    }

    const subscriptions = [
        board.follow("revisionCommands", takeCommand),
        board.follow("platformReplies", takeReply),
        board.observe(["clock"], takeTick),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

const unserved: ReadonlySet<PlatformAnswer> = new Set([PlatformAnswer.Lost, PlatformAnswer.Refused]);

const handlers = {
    [RevisionCommandKind.Submit]: (board, command) => {
        const checked = checkSubmitted(command.answers);
        if (checked !== undefined) {
            return { outcome: Left(checked) };
        }
        const { held } = board.read("configuration");
        const { head } = board.read("platformState");
        const request = {
            answers: command.answers as Answers,
            // The parts of an accepted version are in the object store.
            storedHashes: new Set(Object.values(held?.manifest.entries ?? {}).map(entry => entry.hash)),
            knownVersion: head?.version ?? 0,
            ...author(command),
        };
        return exchange(startSubmission(request), advanceSubmission);
    },
    [RevisionCommandKind.Accept]: (_board, command) =>
        exchange(startAcceptance({ revision: numberOf(command), ...author(command) }), advanceAcceptance),
    [RevisionCommandKind.Reject]: (_board, command) =>
        exchange(startRejection({ revision: numberOf(command), ...author(command) }), advanceRejection),
    [RevisionCommandKind.List]: () => exchange(startListing(), advanceListing),
    [RevisionCommandKind.Diff]: (_board, command) =>
        exchange(startComparison(numberOf(command)), advanceComparison),
} satisfies Record<RevisionCommandKind, (board: Board, command: RevisionCommand) => Exchange>;

function exchange<S, R extends RevisionOutcome>(
    progress: Progress<S, R>,
    advance: (state: S, result: PlatformResult) => Progress<S, R>,
): Exchange {
    return progress.done
        ? { outcome: progress.outcome }
        : {
              next: progress.next,
              advance: result => exchange(advance(progress.state, result), advance),
          };
}

/** Answers that cannot be resolved must not reach the generation, which expects them complete. */
function checkSubmitted(answers: unknown): Problem | undefined {
    return Either.encase(() =>
        generateConfiguration(resolveAnswers(answers as Answers), { version: 1 }),
    ).caseOf<Problem | undefined>({
        Left: error =>
            problem(ProblemCode.InvalidAnswer, `the answers cannot be read: ${error.message}`, {
                nextStep: "run `tanagertray answers check`",
            }),
        Right: () => undefined,
    });
}

function numberOf(command: RevisionCommand): number {
    return command.revision ?? 0;
}

function author(command: RevisionCommand) {
    return { operator: command.operator, writeId: randomUUID(), now: Date.now() };
}
