import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Header, ledgerIdParameter, OutcomeHeader } from "../headers.js";
import { sendJson } from "../http/messages.js";
import { findRefusal, workTimeMs } from "./admission.js";
import { reportedLoadOf, type BackendBoard } from "./board.js";
import type { Counters } from "./counters.js";
import type { FaultControl } from "./faultControl.js";
import type { RunRecorder } from "./runLedger.js";

export interface BackendParts {
    readonly board: BackendBoard;
    readonly counters: Counters;
    readonly faultControl: FaultControl;
    readonly recorder: RunRecorder;
}

/** Serves one call. A call counts as run once its body has been received completely. */
export async function serveCall(
    request: IncomingMessage,
    response: ServerResponse,
    parts: BackendParts,
): Promise<void> {
    const { board, counters } = parts;
    const callId = request.headers[Header.CallId];
    if (callId !== undefined) {
        response.setHeader(Header.CallId, callId);
    }
    const deadlineMs = readDeadline(request);
    const refusal = findRefusal(board, deadlineMs);
    if (refusal !== undefined) {
        counters.add("refused");
        return refuse(request, response, refusal);
    }
    if (board.read("faults").silent) {
        request.resume();
        return;
    }
    if (board.read("faults").broken) {
        request.resume();
        return sendJson(response, 500, { title: "the backend server is broken" });
    }
    counters.add("inFlight");
    try {
        await runCall(request, response, deadlineMs, parts);
    } finally {
        counters.add("inFlight", -1);
    }
}

async function runCall(
    request: IncomingMessage,
    response: ServerResponse,
    deadlineMs: number | undefined,
    { board, counters, faultControl, recorder }: BackendParts,
): Promise<void> {
    const cancellation = new AbortController();
    response.once("close", () => cancellation.abort());
    const deadline =
        deadlineMs === undefined ? undefined : setTimeout(() => cancellation.abort(), deadlineMs);
    try {
        const bodyHash = await hashBody(request).catch(() => undefined);
        if (bodyHash === undefined || cancellation.signal.aborted) {
            counters.add("abandonedBodies");
            return refuseIncomplete(response);
        }
        const url = new URL(request.url ?? "/", "http://backend");
        const ledgerId = readLedgerId(request, url);
        const run = recorder.start(ledgerId, `${request.method} ${url.pathname}`, bodyHash);
        try {
            await sleep(workTimeMs(board, Date.now()), undefined, { signal: cancellation.signal });
        } catch {
            run.cancel();
            return sendJson(response, 504, { title: "the deadline passed during the call" });
        }
        run.finish();
        if (faultControl.consumeLostAnswer()) {
            request.socket.destroy();
            return;
        }
        const load = String(reportedLoadOf(board));
        sendJson(response, 200, { ledgerId, bodyHash }, { [Header.LedgerId]: ledgerId, [Header.Load]: load });
    } finally {
        clearTimeout(deadline);
    }
}

function refuse(request: IncomingMessage, response: ServerResponse, reason: string): void {
    const headers = { [Header.Outcome]: OutcomeHeader.NotRun, [Header.Reason]: reason, "retry-after": "1" };
    sendJson(response, 503, { title: "not run", status: 503, reason }, headers);
    request.resume();
}

/** Reports a call as not run, because its body was not received completely before the deadline. */
function refuseIncomplete(response: ServerResponse): void {
    if (!response.destroyed) {
        sendJson(response, 503, { title: "not run" }, { [Header.Outcome]: OutcomeHeader.NotRun });
    }
}

function readDeadline(request: IncomingMessage): number | undefined {
    const text = request.headers[Header.DeadlineMs];
    return typeof text === "string" ? Number(text) : undefined;
}

function readLedgerId(request: IncomingMessage, url: URL): string {
    const header = request.headers[Header.LedgerId];
    return typeof header === "string" ? header : (url.searchParams.get(ledgerIdParameter) ?? "");
}

/** Hashes the body as it arrives; rejects if the body ends early. */
async function hashBody(request: IncomingMessage): Promise<string> {
    const hash = createHash("sha256");
    for await (const chunk of request as AsyncIterable<Buffer>) {
        hash.update(chunk);
    }
    return hash.digest("hex");
}
