import { EventLevel, problem, ProblemCode, type Event } from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import { RevisionCommandKind, type Board, type RevisionCommand, type RevisionReply } from "../../board.js";
import { commandTimeoutMs } from "./constants.js";
import type { Exchange } from "./endpoint.js";
import { sendJson, sendProblem } from "./responses.js";

export interface CommandRunner {
    /** Runs a command and sends its outcome as the response. */
    run(exchange: Exchange, command: Omit<RevisionCommand, "id">): Promise<void>;
    close(): void;
}

/** Appends operators' commands to the feed of the revision controller and waits for the replies. */
export function createCommandRunner(board: Board, reportEvent: (event: Event) => void): CommandRunner {
    const commands = board.claimFeed("revisionCommands");
    const pendingReplies = new Map<string, (reply: RevisionReply) => void>();
    const subscription = board.follow("revisionReplies", reply => pendingReplies.get(reply.id)?.(reply));

    async function requestReply(command: RevisionCommand): Promise<RevisionReply | undefined> {
        let timer: NodeJS.Timeout | undefined;
        const reply = await new Promise<RevisionReply | undefined>(resolve => {
            pendingReplies.set(command.id, resolve);
            timer = setTimeout(() => resolve(undefined), commandTimeoutMs);
            commands.append(command);
        });
        clearTimeout(timer);
        pendingReplies.delete(command.id);
        return reply;
    }

    return {
        async run({ response }, command) {
            const reply = await requestReply({ ...command, id: randomUUID() });
            reportEvent(commandEvent(command, reply));
            if (reply === undefined) {
                const message = `the command did not finish within ${commandTimeoutMs} ms`;
                const nextStep = "run `tanagertray revisions` before trying again";
                return sendProblem(response, problem(ProblemCode.OutcomeUnknown, message, { nextStep }));
            }
            reply.outcome.caseOf({
                Left: reason => sendProblem(response, reason),
                Right: result => sendJson(response, 200, result),
            });
        },
        close: () => subscription.close(),
    };
}

/** Records which operator ran which command. Read-only commands are logged at debug level. */
function commandEvent(
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
