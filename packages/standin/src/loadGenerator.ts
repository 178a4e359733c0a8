import { createBlackboard, type Blackboard, type Value } from "@tanagertray/core";
import { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { Header, ledgerIdParameter } from "./headers.js";
import type { CallEntry, CallLedger } from "./ledger.js";
import { createBody } from "./load/body.js";
import { outcomeOfError, outcomeOfResponse } from "./load/outcome.js";

/** Template of the calls of one operation. */
export interface CallPlan {
    service: string;
    operation: string;
    method: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
    /** Path after the service name. */
    path: string;
    repeatable: boolean;
    /** @default 0 */
    bodyBytes?: number;
    /** Value of the header `tanagertray-caller`. */
    caller: string;
    /** Base URLs of the daemons, used round-robin. */
    daemons: readonly string[];
}

export interface LoadOptions {
    /** Name of the load, unique among the compared ledgers; prefix of the call ids. */
    name: string;
    /** Used round-robin. */
    plans: readonly CallPlan[];
    /** Largest number of calls in flight. */
    concurrency: number;
    /** Calls started per second. If it is not set, each worker starts its next call when the previous one ends. */
    ratePerSecond?: number;
    maxCalls: number;
    /** Time after which no further call starts, in milliseconds. */
    maxMs: number;
    /**
     * Deadline of each call in milliseconds.
     * @default 5000
     */
    deadlineMs?: number;
}

export interface LoadGenerator {
    ledger(): CallLedger;
    /** Starts no further calls; resolves when those in flight have ended, or after 10 s. */
    stop(): Promise<void>;
    /** Resolves when `maxCalls` or `maxMs` is reached, or after a stop, and no call is in flight. */
    readonly finished: Promise<void>;
}

interface Sections {
    calls: Value<readonly CallEntry[]>;
    progress: Value<{ readonly stopping: boolean }>;
}

const defaultDeadlineMs = 5_000;
/** Time after the deadline of a call during which the caller still waits for the daemon's own error response. */
const responseGraceMs = 1_000;
/** Time for the calls in flight to end after a stop; longer than the deadline of any call. */
const stopTimeoutMs = 10_000;

/**
 * Starts sending calls and records the outcome that the caller sees for each of them.
 *
 * @example
 * ```ts
 * const load = startLoadGenerator({ name: "crews", plans, concurrency: 4, maxCalls: 1_000, maxMs: 10_000 });
 * await load.finished;
 * compareLedgers([load.ledger()], ledgers);
 * ```
 */
export function startLoadGenerator(options: LoadOptions): LoadGenerator {
    const board: Blackboard<Sections> = createBlackboard<Sections>({
        values: { calls: [], progress: { stopping: false } },
        feeds: {},
    });
    const callsSection = board.claimValue("calls");
    const progress = board.claimValue("progress");
    const entries: CallEntry[] = [];
    const agent = new Agent({ connections: options.concurrency });
    const startedAt = Date.now();
    let sequence = 0;

    const canStartCall = () =>
        !board.read("progress").stopping &&
        sequence < options.maxCalls &&
        Date.now() - startedAt < options.maxMs;

    async function runWorker(): Promise<void> {
        while (canStartCall()) {
            const index = sequence++;
            await waitForScheduledStart(index);
            if (board.read("progress").stopping) {
                return;
            }
            await sendAndRecordCall(index);
        }
    }

    async function waitForScheduledStart(index: number): Promise<void> {
        const { ratePerSecond } = options;
        const waitMs =
            ratePerSecond === undefined ? 0 : startedAt + (index * 1_000) / ratePerSecond - Date.now();
        if (waitMs > 0) {
            await sleep(waitMs);
        }
    }

    async function sendAndRecordCall(index: number): Promise<void> {
        const plan = options.plans[index % options.plans.length] as CallPlan;
        const round = Math.floor(index / options.plans.length);
        const daemon = plan.daemons[round % plan.daemons.length] as string;
        const id = `${options.name}-${index}`;
        const body = createBody(id, plan.bodyBytes ?? 0);
        const { service, operation, repeatable } = plan;
        const entry: CallEntry = { id, service, operation, repeatable, bodyHash: body.hash };
        const position = entries.push(entry) - 1;
        callsSection.write(entries);
        const sentAt = performance.now();
        const deadlineMs = options.deadlineMs ?? defaultDeadlineMs;
        const result = await sendCall(agent, { plan, daemon, id, deadlineMs, body });
        entries[position] = { ...entry, ...result, latencyMs: performance.now() - sentAt };
        callsSection.write(entries);
    }

    const finished = Promise.all(Array.from({ length: options.concurrency }, runWorker)).then(async () => {
        await agent.close();
    });
    return {
        ledger: () => ({ caller: options.name, calls: board.read("calls") }),
        finished,
        async stop() {
            progress.write({ stopping: true });
            const timeoutController = new AbortController();
            const timeout = sleep(stopTimeoutMs, undefined, { signal: timeoutController.signal }).catch(
                () => undefined,
            );
            await Promise.race([finished, timeout]);
            timeoutController.abort();
            await agent.destroy();
        },
    };
}

interface PreparedCall {
    readonly plan: CallPlan;
    readonly daemon: string;
    readonly id: string;
    readonly deadlineMs: number;
    readonly body: ReturnType<typeof createBody>;
}

/** Sends one call. Never rejects: a failure is recorded as the outcome. */
async function sendCall(agent: Agent, call: PreparedCall): Promise<Partial<CallEntry>> {
    const { plan, id, body } = call;
    try {
        const response = await agent.request({
            origin: call.daemon,
            method: plan.method,
            path: `/${plan.service}${plan.path}?${ledgerIdParameter}=${encodeURIComponent(id)}`,
            headers: {
                [Header.Caller]: plan.caller,
                [Header.DeadlineMs]: String(call.deadlineMs),
                [Header.LedgerId]: id,
                ...(body.bytes === 0 ? {} : { "content-length": String(body.bytes) }),
            },
            ...(body.bytes === 0 ? {} : { body: Readable.from(body.chunks()) }),
            signal: AbortSignal.timeout(call.deadlineMs + responseGraceMs),
        });
        const text = await response.body.text();
        const outcome = outcomeOfResponse(response.statusCode, response.headers);
        const detail = describeResponse(response.statusCode, response.headers[Header.Reason]);
        return { outcome, detail, ownAnswer: isOwnAnswer(text, id, body.hash) };
    } catch (error) {
        const code = errorCodeOf(error);
        return { outcome: outcomeOfError(code), detail: code };
    }
}

function describeResponse(status: number, reason: unknown): string {
    return reason === undefined ? String(status) : `${status} ${String(reason)}`;
}

function isOwnAnswer(text: string, id: string, bodyHash: string): boolean {
    try {
        const answer = JSON.parse(text) as { ledgerId?: unknown; bodyHash?: unknown };
        return answer.ledgerId === id && answer.bodyHash === bodyHash;
    } catch {
        return false;
    }
}

function errorCodeOf(error: unknown): string {
    const { code, name } = error as { code?: unknown; name?: unknown };
    return String(code ?? name ?? error);
}
