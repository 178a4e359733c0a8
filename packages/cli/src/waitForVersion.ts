import { HostState, problem, ProblemCode, type HostRecord } from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import { setTimeout as sleep } from "node:timers/promises";
import { ExitCode, type CommandContext, type Failure } from "./command.js";
import { maxListedHosts, pollIntervalMs } from "./constants.js";

export interface RolloutStatus {
    readonly hosts: number;
    readonly holding: number;
}

/** Waits until every known host that has not failed or left holds the version. */
export async function waitForVersion(
    context: CommandContext,
    version: number,
    timeoutMs: number,
): Promise<Either<Failure, RolloutStatus>> {
    const deadline = Date.now() + timeoutMs;
    for (;;) {
        const response = await context.client.get("/v1/hosts");
        if (response.isLeft()) {
            return response;
        }
        const { hosts } = response.orDefault({ hosts: [] }) as { hosts: readonly HostRecord[] };
        const activeHosts = hosts.filter(isActive);
        const laggingHosts = activeHosts.filter(host => host.version < version);
        const rollout = { hosts: activeHosts.length, holding: activeHosts.length - laggingHosts.length };
        context.progress(`${rollout.holding} of ${rollout.hosts} hosts hold version ${version}`);
        if (laggingHosts.length === 0) {
            return Right(rollout);
        }
        const rejectingHost = laggingHosts.find(host => host.rejected?.version === version);
        if (rejectingHost !== undefined) {
            const message = `host ${rejectingHost.host} rejected version ${version}: ${rejectingHost.rejected?.reason}`;
            return Left(refusedFailure(message, "accept a corrected revision"));
        }
        if (Date.now() + pollIntervalMs > deadline) {
            const names = laggingHosts.slice(0, maxListedHosts).map(host => host.host);
            const rest = laggingHosts.length > names.length ? ", …" : "";
            const message = `${laggingHosts.length} of ${activeHosts.length} hosts do not hold version ${version} yet: ${names.join(", ")}${rest}`;
            return Left(
                refusedFailure(message, "the version is accepted; run `tanagertray hosts` to follow it"),
            );
        }
        await sleep(pollIntervalMs);
    }
}

function isActive(host: HostRecord): boolean {
    return host.state !== HostState.Failed && host.state !== HostState.Left;
}

function refusedFailure(message: string, nextStep: string): Failure {
    return {
        exitCode: ExitCode.Refused,
        problem: problem(ProblemCode.OutcomeUnknown, message, { nextStep }),
    };
}
