/** LOST: an answer whose upstream pauses for more than 5 s is broken off, although its time is not used up. */
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, hasTrouble, runCase, waitUntil } from "../lib/case.mjs";
import { sendAttempt } from "../lib/clients.mjs";
import { largeBounds } from "../lib/machines.mjs";
import { answerHeaders, startUpstream } from "../lib/upstreams.mjs";

const hostName = "slots.example";
const routeTimeoutMs = 8_000;
const deadlineMs = 15_000;
const contactWindowMs = 4_000;
const configApplyMs = 3_000;
/** Time until the head and the first half of the answer, and until its end. */
const headAfterMs = 300;
const endAfterMs = 6_300;
const requestCount = 4;

await runCase("review/4/record.txt", async ({ store, addMachine, onEnd, note }) => {
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
            const text = `booked by ${run.attempt}`;
            const headers = { ...answerHeaders(run), "content-length": text.length };
            if (request.url.includes("warm")) {
                response.writeHead(200, headers).end(text);
                return;
            }
            await sleep(headAfterMs);
            if (hasTrouble) {
                response.writeHead(200, headers).write(text.slice(0, 7));
            }
            await sleep(endAfterMs - headAfterMs);
            if (hasTrouble) {
                response.end(text.slice(7));
            } else {
                response.writeHead(200, headers).end(text);
            }
        },
    });
    onEnd(() => upstream.close());
    const attempt = path =>
        sendAttempt({ to: entry.outbound, host: hostName, path, deadlineMs, method: "POST", body: "slot" });
    await waitUntil(async () => (await attempt("/book/warm").done).status === 200, {
        timeoutMs: 20_000,
        what: "the machines serve requests",
    });
    await sleep(contactWindowMs + 1_000);

    entry.signal("SIGHUP");
    const hupAt = Date.now();
    note("SIGHUP to entry");
    await sleep(500);
    const sent = Array.from({ length: requestCount }, (_, index) => attempt(`/book/${index}`));
    sent.forEach(({ id }) => note(`sent ${id} to ${entry.name}, deadline ${deadlineMs} ms`));
    const answers = await Promise.all(sent.map(({ done }) => done));
    await sleep(1_500);
    for (const { id, end, status, error, sentAt, endedAt, body } of answers) {
        const run = upstream.runs.find(({ attempt: other }) => other === id);
        const runEnd =
            run.endedAt === undefined
                ? `broken off after ${run.brokenOffAt - run.startedAt} ms`
                : `answered after ${run.endedAt - run.startedAt} ms`;
        note(`${id}: ${end} ${status} ${error ?? ""} after ${endedAt - sentAt} ms, "${body}"; run ${runEnd}`);
    }
    return answers
        .filter(
            ({ end, sentAt, endedAt }) =>
                end !== "complete" && sentAt - hupAt < configApplyMs && endedAt - sentAt < routeTimeoutMs,
        )
        .map(({ id, sentAt, endedAt }) => `LOST ${id}, cut after ${endedAt - sentAt} ms`);
});
