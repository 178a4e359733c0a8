import { EventLevel, problem, ProblemCode, type Event } from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import { RevisionCommandKind, type Board, type RevisionCommand, type RevisionReply } from "../../board.js";
import { commandDeadlineMs } from "./constants.js";
import type { Exchange } from "./exchange.js";
import { send, sendProblem } from "./responses.js";

export interface CommandRunner {
    /** Appends a command and sends its outcome as the response. */
    run(exchange: Exchange, command: Omit<RevisionCommand, "id">): Promise<void>;
    close(): void;
}

/** Passes operators' commands to the revision controller and waits for their replies. */
export function createCommandRunner(board: Board, report: (event: Event) => void): CommandRunner {
    const commands = board.claimFeed("revisionCommands");
    const waiting = new Map<string, (reply: RevisionReply) => void>();
    const subscription = board.follow("revisionReplies", reply => waiting.get(reply.id)?.(reply));

    async function execute(command: RevisionCommand): Promise<RevisionReply | undefined> {
        let timer: NodeJS.Timeout | undefined;
        const reply = await new Promise<RevisionReply | undefined>(resolve => {
            waiting.set(command.id, resolve);
            timer = setTimeout(() => resolve(undefined), commandDeadlineMs);
            commands.append(command);
        });
        clearTimeout(timer);
        waiting.delete(command.id);
        return reply;
    }

    return {
        async run({ response }, command) {
            const reply = await execute({ ...command, id: randomUUID() });
            report(describeCommand(command, reply));
            if (reply === undefined) {
                const message = `the command did not finish within ${commandDeadlineMs} ms`;
                const nextStep = "run `tanagertray revisions` before trying again";
                return sendProblem(response, problem(ProblemCode.OutcomeUnknown, message, { nextStep }));
            }
            reply.outcome.caseOf({
                Left: reason => sendProblem(response, reason),
                Right: result => send(response, 200, result),
            });
        },
        close: () => subscription.close(),
    };
}

/** The record of who decided what. Lists and comparisons change nothing and are not worth a line. */
function describeCommand(
    { kind, operator, revision }: Omit<RevisionCommand, "id">,
    reply: RevisionReply | undefined,
): Event {
    const outcome = reply?.outcome
        .swap()
        .map(reason => reason.code as string)
        .orDefault("done");
    const readOnly = kind === RevisionCommandKind.List || kind === RevisionCommandKind.Diff;
    return {
        name: "operator.command",
        level: readOnly ? EventLevel.Debug : EventLevel.Info,
        fields: { kind, operator, revision, outcome: outcome ?? ProblemCode.OutcomeUnknown },
    };
}
