import {
    advanceAcceptance,
    advanceSubmission,
    PlatformAnswer,
    PlatformOperation,
    startAcceptance,
    startSubmission,
    type Acceptance,
    type Answers,
    type Head,
    type PlatformResult,
    type Progress,
    type Revision,
    type Submission,
} from "@tanagertray/core";
import { Left, Right } from "purify-ts/Either";
import { randomUUID } from "node:crypto";
import { problem, ProblemCode } from "@tanagertray/core";
import { RevisionCommandKind, type Board, type RevisionCommand, type RevisionReply } from "../board.js";
import type { Closeable } from "../closeable.js";

/** Operator requests worked on at a time. */
const maxRunningCommands = 32;

/** Takes the result of the last platform request; returns the outcome once there is one. */
type Step = (result: PlatformResult) => RevisionReply["outcome"] | undefined;

/** Carries operators' commands through the platform, one request at a time for each command. */
export function createRevisions(board: Board): Closeable {
    const io = board.claimFeed("revisionIo");
    const replies = board.claimFeed("revisionReplies");
    const running = new Map<string, Step>();

    function takeCommand(command: RevisionCommand): void {
        if (running.size >= maxRunningCommands) {
            const reason = problem(
                ProblemCode.Overloaded,
                `${maxRunningCommands} operator requests are in progress`,
            );
            replies.append({ id: command.id, outcome: Left(reason) });
            return;
        }
        handlers[command.kind](command);
    }

    function run<S>(
        id: string,
        progress: Progress<S, Revision | Head>,
        advance: (state: S, result: PlatformResult) => Progress<S, Revision | Head>,
    ): RevisionReply["outcome"] | undefined {
        if (progress.done) {
            return progress.outcome;
        }
        running.set(id, result => run(id, advance(progress.state, result), advance));
        io.append({ id, request: progress.next });
        return undefined;
    }

    const handlers = {
        [RevisionCommandKind.Submit]: (command: RevisionCommand) => {
            const request = {
                answers: command.answers as Answers,
                storedHashes: new Set<string>(),
                ...author(command),
            };
            run<Submission>(command.id, startSubmission(request), advanceSubmission);
        },
        [RevisionCommandKind.Accept]: (command: RevisionCommand) => {
            const request = { revision: command.revision ?? 0, ...author(command) };
            run<Acceptance>(command.id, startAcceptance(request), advanceAcceptance);
        },
        [RevisionCommandKind.Reject]: (command: RevisionCommand) => {
            const reason = problem(
                ProblemCode.NotFound,
                `revision ${command.revision} cannot be rejected yet`,
            );
            replies.append({ id: command.id, outcome: Left(reason) });
        },
        [RevisionCommandKind.List]: (command: RevisionCommand) => {
            running.set(command.id, takeList);
            io.append({
                id: command.id,
                request: { operation: PlatformOperation.ListRows, prefix: "revision/" },
            });
        },
        [RevisionCommandKind.Diff]: (command: RevisionCommand) => {
            const message = `revision ${command.revision} cannot be compared yet`;
            replies.append({ id: command.id, outcome: Left(problem(ProblemCode.NotFound, message)) });
        },
    } satisfies Record<RevisionCommandKind, (command: RevisionCommand) => void>;

    const subscriptions = [
        board.follow("revisionCommands", takeCommand),
        board.follow("platformReplies", reply => {
            const outcome = running.get(reply.id)?.(reply.result);
            if (outcome !== undefined) {
                running.delete(reply.id);
                replies.append({ id: reply.id, outcome });
            }
        }),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}

function author(command: RevisionCommand) {
    return { operator: command.operator, writeId: randomUUID(), now: Date.now() };
}

function takeList(result: PlatformResult): RevisionReply["outcome"] {
    return result.answer === PlatformAnswer.Rows
        ? Right(result.rows.map(row => row.row as Revision))
        : Left(problem(ProblemCode.PlatformUnreachable, "the platform did not serve the list of revisions"));
}
