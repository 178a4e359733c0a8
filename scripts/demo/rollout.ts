import type { DemoBoard, DemoHost } from "./board.js";
import { runTanagertray } from "./operator.js";
import { countHostsWithVersion, isReady } from "./status.js";
import { waitUntil } from "./waiting.js";

const convergenceTimeoutMs = 12_000;

export interface RolloutOperator {
    /** Submits and accepts answers, and waits until every host reports the new version. */
    rollOut(answersFile: string, signal: AbortSignal): Promise<void>;
}

/** Writes the `rollout` section. */
export function createRolloutOperator(board: DemoBoard): RolloutOperator {
    const section = board.claimValue("rollout");
    return {
        async rollOut(answersFile, signal) {
            const hosts = board.read("hosts");
            const { admin } = hosts[0] as DemoHost;
            const submitted = await runTanagertray(["answers", "submit", answersFile], admin, signal);
            await submitted.exited;
            const revision = String(readNumber(submitted.output, ["number", "revision"]));
            const accepted = await runTanagertray(["accept", revision], admin, signal);
            const version = readNumber(accepted.output, ["version"]);
            const isInForce = async () => (await countHostsWithVersion(hosts, version)) === hosts.length;
            await waitUntil(`every host holds version ${version}`, convergenceTimeoutMs, signal, isInForce);
            section.write({ version, convergenceMs: Math.round(performance.now() - accepted.confirmedAt) });
            await accepted.exited;
            await waitUntil("every host is ready", convergenceTimeoutMs, signal, async () =>
                (await Promise.all(hosts.map(isReady))).every(Boolean),
            );
        },
    };
}

/** Returns the first of the named fields that is a number in the JSON output of a command. */
function readNumber(output: string, fields: readonly string[]): number {
    const document = JSON.parse(output) as Record<string, unknown>;
    const number = fields.map(name => document[name]).find(content => typeof content === "number");
    if (number === undefined) {
        throw new Error(
            `the command output has no numeric field "${fields.join('" or "')}": ${output.trim()}`,
        );
    }
    return number as number;
}
