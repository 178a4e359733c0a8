/** LOST: a request in progress is cut 5.3 s after SIGTERM, although the grace period of the deployment is 10 s. */
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, hasTrouble, runCase, waitUntil } from "../lib/case.mjs";
import { sendAttempt } from "../lib/clients.mjs";
import { largeBounds } from "../lib/machines.mjs";
import { answerHeaders, startUpstream } from "../lib/upstreams.mjs";

const hostName = "slots.example";
/** Work of a slot booking: the longest that the site file lists. */
const workMs = 7_100;
const routeTimeoutMs = 8_000;
const deadlineMs = 15_000;
const graceMs = 10_000;
const contactWindowMs = 4_000;
/** Time from sending the requests to SIGTERM. */
const sendAheadMs = 500;
const requestCount = 4;

await runCase("review/1/record.txt", async ({ store, addMachine, onEnd, note }) => {
    store.put(
        "op",
        "config",
        createConfiguration({
            version: 100,
            hostName,
            services: ["pondboard", "slotdesk"],
            routes: [
                {
                    name: "slot-book",
                    kind: "unsafe",
                    service: "slotdesk",
                    prefix: "/book/",
                    timeout: `${routeTimeoutMs}ms`,
                    aim: "2500ms",
                },
            ],
        }),
    );
    const site = { region: "mafraq", bounds: largeBounds };
    const entry = await addMachine({ ...site, name: "entry", zone: "mafraq-a", service: "pondboard" });
    const serving = await addMachine({ ...site, name: "serving", zone: "mafraq-b", service: "slotdesk" });
    const upstream = await startUpstream({
        id: "i-slotdesk-1",
        service: "slotdesk",
        zone: serving.zone,
        port: serving.applicationPort,
        controlPlane: serving.controlPlane,
        async onRun(run, request, response) {
            await sleep(request.url.includes("warm") ? 5 : workMs);
            response.writeHead(200, answerHeaders(run)).end(`booked by ${run.attempt}`);
        },
    });
    onEnd(() => upstream.close());
    const attempt = path =>
        sendAttempt({ to: entry.outbound, host: hostName, path, deadlineMs, method: "POST", body: "slot" });
    await waitUntil(async () => (await entry.isReady()) && (await serving.isReady()), {
        timeoutMs: 20_000,
        what: "both machines are ready",
    });
    await waitUntil(async () => (await attempt("/book/warm").done).status === 200, {
        timeoutMs: 20_000,
        what: "the upstream is known",
    });
    await sleep(contactWindowMs + 1_000);

    const sent = Array.from({ length: requestCount }, (_, index) => attempt(`/book/${index}`));
    sent.forEach(({ id }) => note(`sent ${id} to ${entry.name}, deadline ${deadlineMs} ms`));
    await sleep(sendAheadMs);
    const termAt = Date.now();
    let killTimer;
    if (hasTrouble) {
        entry.signal("SIGTERM");
        note("SIGTERM to entry");
        killTimer = setTimeout(() => entry.signal("SIGKILL"), graceMs);
    }
    const answers = await Promise.all(sent.map(({ done }) => done));
    clearTimeout(killTimer);
    await sleep(200);
    for (const { id, end, status, error, endedAt, body } of answers) {
        const run = upstream.runs.find(({ attempt }) => attempt === id);
        const runText =
            run === undefined
                ? "not run"
                : `run, ${run.endedAt === undefined ? `broken off after ${run.brokenOffAt - run.startedAt} ms` : `answered after ${run.endedAt - run.startedAt} ms`}`;
        note(
            `${id}: ${end} ${status} ${error ?? ""} ${endedAt - termAt} ms after SIGTERM; upstream: ${runText}; ${body}`,
        );
    }
    // Excused: the upstream was still at work in the last sixth of the grace period, or the deadline or timeout passed.
    const lastSixthMs = (graceMs * 5) / 6;
    return answers
        .filter(({ id, end, headers, sentAt, endedAt }) => {
            const wasPassedOn = upstream.runs.some(({ attempt }) => attempt === id);
            const isCut = end !== "complete" || headers["x-server-signature"] === undefined;
            const isTimely = endedAt - sentAt < routeTimeoutMs && endedAt - termAt < graceMs + 1_000;
            return hasTrouble && wasPassedOn && isCut && isTimely && sentAt + workMs - termAt < lastSixthMs;
        })
        .map(({ id, end, endedAt }) => `LOST ${id}, ${end} ${endedAt - termAt} ms after SIGTERM`);
});
