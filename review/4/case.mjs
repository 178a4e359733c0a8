/** LOST: after SIGTERM, a request is given up although its upstream is at work and no other host takes it. */
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, hasTrouble, runCase, waitUntil } from "../lib/case.mjs";
import { createAgent, sendAttempt } from "../lib/clients.mjs";
import { skimBounds } from "../lib/machines.mjs";
import { answerHeaders, startUpstream } from "../lib/upstreams.mjs";

const hostName = "pond.example";
const routeTimeoutMs = 1_200;
const deadlineMs = 2_500;
const contactWindowMs = 3_000;
const graceMs = 6_000;
/** Usual work of a request, and the longest that the site file lists. */
const usualWorkMs = 60;
const longWorkMs = 720;
const warmUpCount = 100;
/** Slots of the upstream that is full while the request is sent. */
const fullSlots = 2;

await runCase("review/4/record.txt", async ({ store, addMachine, onEnd, note }) => {
    const route = {
        name: "pond-view",
        kind: "safe",
        service: "pondboard",
        prefix: "/pond/",
        timeout: `${routeTimeoutMs}ms`,
        aim: "400ms",
    };
    const services = ["pondboard", "loadlog"];
    store.put("op", "config", createConfiguration({ version: 100, hostName, services, routes: [route] }));
    const site = { region: "mafraq", bounds: skimBounds };
    const entry = await addMachine({ ...site, name: "entry", zone: "mafraq-a", service: "loadlog" });
    const near = await addMachine({ ...site, name: "near", zone: "mafraq-a", service: "pondboard" });
    const far = await addMachine({ ...site, name: "far", zone: "mafraq-b", service: "pondboard" });
    const startOn = async (machine, slots) => {
        const upstream = await startUpstream({
            id: `i-${machine.name}`,
            service: "pondboard",
            zone: machine.zone,
            port: machine.applicationPort,
            controlPlane: machine.controlPlane,
            slots,
            async onRun(run, request, response) {
                await sleep(request.url.includes("long") ? longWorkMs : usualWorkMs);
                response.writeHead(200, answerHeaders(run)).end(`answered by ${run.id}`);
            },
        });
        onEnd(() => upstream.close());
        return upstream;
    };
    const nearUpstream = await startOn(near, 18);
    const farUpstream = await startOn(far, fullSlots);
    const agent = createAgent();
    const attempt = (machine, path) =>
        sendAttempt({ to: machine.outbound, host: hostName, path, deadlineMs, agent });
    await waitUntil(
        async () => {
            const answers = await Promise.all([entry, far].map(machine => attempt(machine, "/pond/1").done));
            return answers.every(({ status }) => status === 200) && farUpstream.runs.length > 0;
        },
        { timeoutMs: 20_000, what: "both upstreams are in use" },
    );
    for (let index = 0; index < warmUpCount; index += 1) {
        await attempt(entry, "/pond/1").done;
    }
    for (let index = 0; index < 10; index += 1) {
        await attempt(far, "/pond/long").done;
    }
    await sleep(contactWindowMs);

    const termAt = Date.now();
    if (hasTrouble) {
        entry.signal("SIGTERM");
        note("SIGTERM to entry");
    }
    await sleep(300);
    const holding = Array.from({ length: fullSlots }, () => attempt(far, "/pond/long"));
    note(`the ${fullSlots} slots of i-far are taken by requests of far's own clients`);
    await sleep(100);
    const sent = [attempt(entry, "/pond/long"), attempt(entry, "/pond/long")];
    const answers = await Promise.all(sent.map(({ done }) => done));
    await Promise.all(holding.map(({ done }) => done));
    agent.destroy();
    await sleep(500);
    const broken = [];
    for (const { id, status, headers, sentAt, endedAt, body } of answers) {
        const runs = [...nearUpstream.runs, ...farUpstream.runs].filter(({ attempt: other }) => other === id);
        const runTexts = runs.map(({ id: server, startedAt, endedAt: doneAt, brokenOffAt }) =>
            doneAt === undefined
                ? `${server} broken off after ${brokenOffAt - startedAt} ms`
                : `${server} answered after ${doneAt - startedAt} ms`,
        );
        note(
            `${id} sent ${sentAt - termAt} ms after SIGTERM: ${status} after ${endedAt - sentAt} ms, ${body}; ${runTexts.join(", ")}`,
        );
        const isOwnAnswer = headers["x-server-signature"] === undefined;
        const wasAtWork = runs.some(
            ({ brokenOffAt }) => brokenOffAt !== undefined && brokenOffAt <= endedAt + 50,
        );
        const isExcused = endedAt - sentAt >= routeTimeoutMs || endedAt - termAt > graceMs + 1_000;
        if (hasTrouble && isOwnAnswer && wasAtWork && !isExcused) {
            broken.push(`LOST ${id}, ${status} after ${endedAt - sentAt} ms`);
        }
    }
    return broken;
});
