import { HostState, problem, ProblemCode, type HostRecord } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { setTimeout as sleep } from "node:timers/promises";
import { ExitCode, type Context, type Failure } from "./command.js";
import { maxNamedHosts, waitPeriodMs } from "./constants.js";

export interface Spread {
    readonly hosts: number;
    readonly holding: number;
}

/** Waits until every known host that has not failed or left holds the version. */
export async function waitForVersion(
    context: Context,
    version: number,
    timeoutMs: number,
): Promise<Either<Failure, Spread>> {
    const deadline = Date.now() + timeoutMs;
    for (;;) {
        const answer = await context.client.get("/v1/hosts");
        if (answer.isLeft()) {
            return answer;
        }
        const { hosts } = answer.orDefault({ hosts: [] }) as { hosts: readonly HostRecord[] };
        const present = hosts.filter(isPresent);
        const lagging = present.filter(host => host.version < version);
        const spread = { hosts: present.length, holding: present.length - lagging.length };
        context.progress(`${spread.holding} of ${spread.hosts} hosts hold version ${version}`);
        if (lagging.length === 0) {
            return Right(spread);
        }
        const refusing = lagging.find(host => host.rejected?.version === version);
        if (refusing !== undefined) {
            const message = `host ${refusing.host} refused version ${version}: ${refusing.rejected?.reason}`;
            return Left(refused(message, "accept a corrected revision"));
        }
        if (Date.now() + waitPeriodMs > deadline) {
            const names = lagging.slice(0, maxNamedHosts).map(host => host.host);
            const rest = lagging.length > names.length ? ", …" : "";
            const message = `${lagging.length} of ${present.length} hosts do not hold version ${version} yet: ${names.join(", ")}${rest}`;
            return Left(refused(message, "the version is accepted; run `tanagertray hosts` to follow it"));
        }
        await sleep(waitPeriodMs);
    }
}

function isPresent(host: HostRecord): boolean {
    return host.state !== HostState.Failed && host.state !== HostState.Left;
}

function refused(message: string, nextStep: string): Failure {
    return {
        exitCode: ExitCode.Refused,
        problem: problem(ProblemCode.OutcomeUnknown, message, { nextStep }),
    };
}
