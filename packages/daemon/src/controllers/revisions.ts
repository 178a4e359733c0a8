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
    type PlatformRequest,
    type PlatformResult,
    type Problem,
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

const maxRunningCommands = 32;
/** Time limit of a command, in milliseconds. Must stay below the 60 s that the admin adapter waits for the reply. */
const commandDeadlineMs = 55_000;
/** Delay before the first retry of a request that the platform did not serve, in milliseconds. */
const initialRetryDelayMs = 100;
/** Longest delay between two retries, in milliseconds. */
const maxRetryDelayMs = 2_000;

/** Progress of a command: its outcome, or its next platform request and the step that handles the result. */
type Exchange =
    | { readonly outcome: RevisionReply["outcome"] }
    | { readonly next: PlatformRequest; readonly advance: (result: PlatformResult) => Exchange };

interface RunningCommand {
    readonly advance: (result: PlatformResult) => Exchange;
    readonly startedAt: number;
    /** Number of consecutive requests that the platform did not serve. */
    readonly failures: number;
    /** Retry that is not due yet, if any. */
    readonly delayedRequest?: { readonly request: PlatformRequest; readonly dueAt: number };
}

/** Executes operator commands on the platform. Each command has at most one request in flight. */
export function createRevisions(board: Board): Closeable {
    const platformCommands = board.claimFeed("revisionIo");
    const replies = board.claimFeed("revisionReplies");
    const running = new Map<string, RunningCommand>();
    const now = () => board.read("clock").now;

    function handleCommand(command: RevisionCommand): void {
        if (running.size >= maxRunningCommands) {
            const reason = problem(
                ProblemCode.Overloaded,
                `${maxRunningCommands} operator requests are in progress`,
                { nextStep: "nothing was changed; try again in a few seconds" },
            );
            replies.append({ id: command.id, outcome: Left(reason) });
            return;
        }
        advanceCommand(command.id, commandHandlers[command.kind](board, command), {
            startedAt: now(),
            failures: 0,
        });
    }

    function advanceCommand(
        id: string,
        exchange: Exchange,
        run: { startedAt: number; failures: number },
    ): void {
        if ("outcome" in exchange) {
            running.delete(id);
            replies.append({ id, outcome: exchange.outcome });
            return;
        }
        const { advance, next } = exchange;
        if (run.failures === 0) {
            running.set(id, { ...run, advance });
            platformCommands.append({ id, request: next });
            return;
        }
        const delay = backoffMs(run.failures, { initialMs: initialRetryDelayMs, maxMs: maxRetryDelayMs });
        running.set(id, { ...run, advance, delayedRequest: { request: next, dueAt: now() + delay } });
    }

    function handleReply({ id, result }: PlatformReply): void {
        const run = running.get(id);
        if (run === undefined || run.delayedRequest !== undefined) {
            return;
        }
        const failures = unservedAnswers.has(result.answer) ? run.failures + 1 : 0;
        advanceCommand(id, run.advance(result), { startedAt: run.startedAt, failures });
    }

    function resendOrExpire(): void {
        for (const [id, run] of running) {
            if (now() >= run.startedAt + commandDeadlineMs) {
                running.delete(id);
                replies.append({ id, outcome: Left(unknownOutcomeProblem("the command")) });
            } else if (run.delayedRequest !== undefined && now() >= run.delayedRequest.dueAt) {
                const { delayedRequest, ...withoutDelay } = run;
                running.set(id, withoutDelay);
                platformCommands.append({ id, request: delayedRequest.request });
            }
        }
    }

    const subscriptions = [
        board.follow("revisionCommands", handleCommand),
        board.follow("platformReplies", handleReply),
        board.observe(["clock"], resendOrExpire),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

const unservedAnswers: ReadonlySet<PlatformAnswer> = new Set([PlatformAnswer.Lost, PlatformAnswer.Refused]);

const commandHandlers = {
    [RevisionCommandKind.Submit]: (board, command) => {
        const invalid = checkAnswers(command.answers);
        if (invalid !== undefined) {
            return { outcome: Left(invalid) };
        }
        const { held } = board.read("configuration");
        const { head } = board.read("platformState");
        const request = {
            answers: command.answers as Answers,
            // Every part of an accepted version is already in the object store.
            storedHashes: new Set(Object.values(held?.manifest.entries ?? {}).map(entry => entry.hash)),
            knownVersion: head?.version ?? 0,
            ...writeMetadata(command),
        };
        return createExchange(startSubmission(request), advanceSubmission);
    },
    [RevisionCommandKind.Accept]: (_board, command) =>
        createExchange(
            startAcceptance({ revision: revisionNumberOf(command), ...writeMetadata(command) }),
            advanceAcceptance,
        ),
    [RevisionCommandKind.Reject]: (_board, command) =>
        createExchange(
            startRejection({ revision: revisionNumberOf(command), ...writeMetadata(command) }),
            advanceRejection,
        ),
    [RevisionCommandKind.List]: () => createExchange(startListing(), advanceListing),
    [RevisionCommandKind.Diff]: (_board, command) =>
        createExchange(startComparison(revisionNumberOf(command)), advanceComparison),
} satisfies Record<RevisionCommandKind, (board: Board, command: RevisionCommand) => Exchange>;

function createExchange<S, R extends RevisionOutcome>(
    progress: Progress<S, R>,
    advance: (state: S, result: PlatformResult) => Progress<S, R>,
): Exchange {
    return progress.done
        ? { outcome: progress.outcome }
        : {
              next: progress.next,
              advance: result => createExchange(advance(progress.state, result), advance),
          };
}

/** Rejects answers from which no configuration can be generated, because the submission expects valid ones. */
function checkAnswers(answers: unknown): Problem | undefined {
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

function revisionNumberOf(command: RevisionCommand): number {
    return command.revision ?? 0;
}

function writeMetadata(command: RevisionCommand) {
    return { operator: command.operator, writeId: randomUUID(), now: Date.now() };
}
