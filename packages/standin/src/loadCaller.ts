import { createBlackboard, type Blackboard, type Value } from "@tanagertray/core";
import { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { Header, ledgerIdParameter } from "./headers.js";
import type { CallEntry, CallLedger } from "./ledger.js";
import { createBody } from "./load/body.js";
import { outcomeOfError, outcomeOfResponse } from "./load/outcome.js";

/** One kind of call. */
export interface CallPlan {
    service: string;
    operation: string;
    method: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
    /** Path below the service. */
    path: string;
    repeatable: boolean;
    /** @default 0 */
    bodyBytes?: number;
    /** Name in `tanagertray-caller`. */
    caller: string;
    /** Base URLs of the daemons that receive these calls in turn. */
    daemons: readonly string[];
}

export interface LoadOptions {
    /** Name of the load, unique among the ledgers of a comparison. */
    name: string;
    /** Sent in turn. */
    plans: readonly CallPlan[];
    /** Calls in flight at a time. */
    concurrency: number;
    /** Calls started in a second; without it each worker sends one call after the other. */
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

export interface LoadCaller {
    ledger(): CallLedger;
    /** Starts no further call and resolves when those in flight have an outcome. */
    stop(): Promise<void>;
    /** Resolves when the count or the time is reached. */
    readonly finished: Promise<void>;
}

interface Sections {
    calls: Value<readonly CallEntry[]>;
    progress: Value<{ readonly stopping: boolean }>;
}

const defaultDeadlineMs = 5_000;
/** Time beyond its deadline that a caller waits for the daemon's own answer. */
const graceMs = 1_000;
/** Time for the calls in progress to end after a stop, in milliseconds; longer than any call's deadline. */
const stopTimeoutMs = 10_000;

/**
 * Starts to send calls and records what each of them was told.
 *
 * @example
 * ```ts
 * const load = startLoad({ name: "crews", plans, concurrency: 4, maxCalls: 1_000, maxMs: 10_000 });
 * await load.finished;
 * compareLedgers([load.ledger()], ledgers);
 * ```
 */
export function startLoad(options: LoadOptions): LoadCaller {
    const board: Blackboard<Sections> = createBlackboard<Sections>({
        values: { calls: [], progress: { stopping: false } },
        feeds: {},
    });
    const section = board.claimValue("calls");
    const progress = board.claimValue("progress");
    const entries: CallEntry[] = [];
    const agent = new Agent({ connections: options.concurrency });
    const startedAt = Date.now();
    let sequence = 0;

    const mayStart = () =>
        !board.read("progress").stopping &&
        sequence < options.maxCalls &&
        Date.now() - startedAt < options.maxMs;

    async function work(): Promise<void> {
        while (mayStart()) {
            const index = sequence++;
            await waitForTurn(index);
            if (board.read("progress").stopping) {
                return;
            }
            await recordCall(index);
        }
    }

    async function waitForTurn(index: number): Promise<void> {
        const { ratePerSecond } = options;
        const wait =
            ratePerSecond === undefined ? 0 : startedAt + (index * 1_000) / ratePerSecond - Date.now();
        if (wait > 0) {
            await sleep(wait);
        }
    }

    async function recordCall(index: number): Promise<void> {
        const plan = options.plans[index % options.plans.length] as CallPlan;
        const round = Math.floor(index / options.plans.length);
        const daemon = plan.daemons[round % plan.daemons.length] as string;
        const id = `${options.name}-${index}`;
        const body = createBody(id, plan.bodyBytes ?? 0);
        const { service, operation, repeatable } = plan;
        const entry: CallEntry = { id, service, operation, repeatable, bodyHash: body.hash };
        const position = entries.push(entry) - 1;
        section.write(entries);
        const began = performance.now();
        const deadlineMs = options.deadlineMs ?? defaultDeadlineMs;
        const end = await sendCall(agent, { plan, daemon, id, deadlineMs, body });
        entries[position] = { ...entry, ...end, latencyMs: performance.now() - began };
        section.write(entries);
    }

    const finished = Promise.all(Array.from({ length: options.concurrency }, work)).then(async () => {
        await agent.close();
    });
    return {
        ledger: () => ({ caller: options.name, calls: board.read("calls") }),
        finished,
        async stop() {
            progress.write({ stopping: true });
            const limit = new AbortController();
            const late = sleep(stopTimeoutMs, undefined, { signal: limit.signal }).catch(() => undefined);
            await Promise.race([finished, late]);
            limit.abort();
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

/** Sends one call; every failure is an outcome. */
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
            ...(body.bytes === 0 ? {} : { body: Readable.from(body.pieces()) }),
            signal: AbortSignal.timeout(call.deadlineMs + graceMs),
        });
        const text = await response.body.text();
        const outcome = outcomeOfResponse(response.statusCode, response.headers);
        const detail = describeResponse(response.statusCode, response.headers[Header.Reason]);
        return { outcome, detail, ownAnswer: isOwnAnswer(text, id, body.hash) };
    } catch (error) {
        const code = codeOf(error);
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

function codeOf(error: unknown): string {
    const { code, name } = error as { code?: unknown; name?: unknown };
    return String(code ?? name ?? error);
}
