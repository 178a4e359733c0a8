import { problem, ProblemCode } from "@tanagertray/core";
import { randomUUID } from "node:crypto";
import type { Board, RevisionCommand, RevisionReply } from "../../board.js";
import { commandDeadlineMs } from "./constants.js";
import type { Exchange } from "./exchange.js";
import { send, sendProblem } from "./responses.js";

export interface CommandRunner {
    /** Appends a command and sends its outcome as the response. */
    run(exchange: Exchange, command: Omit<RevisionCommand, "id">): Promise<void>;
    close(): void;
}

/** Passes operators' commands to the revision controller and waits for their replies. */
export function createCommandRunner(board: Board): CommandRunner {
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
