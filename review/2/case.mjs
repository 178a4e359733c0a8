/** DRAIN: after all daemons were killed, a late heartbeat brings back an upstream whose leaving was acknowledged. */
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, hasTrouble, runCase, waitUntil } from "../lib/case.mjs";
import { createAgent, sendAttempt } from "../lib/clients.mjs";
import { skimBounds } from "../lib/machines.mjs";
import { answerHeaders, startUpstream } from "../lib/upstreams.mjs";

const hostName = "pond.example";
const deadlineMs = 2_500;
const drainMs = 2_000;
const contactWindowMs = 3_000;
/** Time from the acknowledgement to the kill. */
const killAfterMs = 500;
/** Time for which the processes are down. */
const downMs = 1_000;
/** Delay of the heartbeat that was sent before the upstream announced that it leaves. */
const heartbeatDelayMs = 2_500;
/** Time after the acknowledgement for which the upstream goes on serving. */
const servesMs = 10_000;
const requestGapMs = 50;

await runCase("review/2/record.txt", async ({ store, addMachine, onEnd, note }) => {
    store.put(
        "op",
        "config",
        createConfiguration({
            version: 100,
            hostName,
            services: ["pondboard", "loadlog"],
            routes: [
                {
                    name: "pond-view",
                    kind: "safe",
                    service: "pondboard",
                    prefix: "/pond/",
                    timeout: "1200ms",
                    aim: "400ms",
                },
            ],
        }),
    );
    const site = { region: "mafraq", bounds: skimBounds };
    const machines = [
        await addMachine({ ...site, name: "entry", zone: "mafraq-a", service: "loadlog" }),
        await addMachine({ ...site, name: "leaving", zone: "mafraq-a", service: "pondboard" }),
        await addMachine({ ...site, name: "staying", zone: "mafraq-b", service: "pondboard" }),
    ];
    const [entry, leavingMachine, stayingMachine] = machines;
    const serve = async (run, _request, response) => {
        await sleep(20);
        response.writeHead(200, answerHeaders(run)).end(`answered by ${run.id}`);
    };
    const startOn = (machine, id) =>
        startUpstream({
            id,
            service: "pondboard",
            zone: machine.zone,
            port: machine.applicationPort,
            controlPlane: machine.controlPlane,
            onRun: serve,
        });
    const leaving = await startOn(leavingMachine, "i-leaving");
    onEnd(() => leaving.close());
    const staying = await startOn(stayingMachine, "i-staying");
    onEnd(() => staying.close());
    const agent = createAgent();
    const attempt = () =>
        sendAttempt({ to: entry.outbound, host: hostName, path: "/pond/1", deadlineMs, agent });
    const areReady = async () =>
        (await Promise.all(machines.map(machine => machine.isReady()))).every(ready => ready);

    await waitUntil(areReady, { timeoutMs: 20_000, what: "all machines are ready" });
    await waitUntil(
        async () => {
            await attempt().done;
            return leaving.runs.length > 0;
        },
        { timeoutMs: 20_000, what: "the upstream is in use" },
    );
    await sleep(contactWindowMs + 1_000);

    const late = leaving.nextAnnouncement();
    note(`heartbeat of i-leaving sent, delayed by ${heartbeatDelayMs} ms`);
    const arrival = sleep(heartbeatDelayMs).then(async () => {
        note(`late heartbeat arrives, answered ${await leaving.announce(late)}`);
    });
    const status = await leaving.leave();
    const acknowledgedAt = Date.now();
    note(`DELETE of i-leaving answered ${status}`);
    if (status !== 200) {
        throw new Error("the leaving was not acknowledged");
    }
    await sleep(killAfterMs);
    if (hasTrouble) {
        await Promise.all(machines.map(machine => machine.kill()));
        note("all daemons killed");
        await sleep(downMs);
        machines.forEach(machine => machine.start());
        note("all daemons started");
    } else {
        await sleep(downMs);
    }
    const inTouchAt = Date.now() + contactWindowMs;
    await arrival;
    await waitUntil(areReady, { timeoutMs: 20_000, what: "all machines are ready again" });
    await sleep(Math.max(0, inTouchAt + 500 - Date.now()));

    const sent = [];
    const fromRun = leaving.runs.length;
    while (Date.now() < acknowledgedAt + servesMs) {
        sent.push(attempt());
        await sleep(requestGapMs);
    }
    const answers = await Promise.all(sent.map(({ done }) => done));
    agent.destroy();
    const served = answers.filter(({ status }) => status === 200).length;
    note(`sent ${sent.length} to ${entry.name} while all machines were in touch, ${served} answered 200`);
    answers.forEach(({ id, sentAt, status: answered, body }) =>
        note(`${id} sent ${sentAt - acknowledgedAt} ms after the acknowledgement: ${answered} ${body}`),
    );
    const lateRuns = leaving.runs
        .slice(fromRun)
        .filter(
            ({ attempt: id, startedAt }) =>
                startedAt - acknowledgedAt > drainMs && sent.some(request => request.id === id),
        );
    note(`i-leaving ran ${lateRuns.length} of them, i-staying the rest`);
    return lateRuns.length === 0
        ? []
        : [
              `DRAIN ${lateRuns.length} of ${sent.length} requests reached i-leaving, the first ${lateRuns[0].startedAt - acknowledgedAt} ms after the acknowledgement`,
          ];
});
