/** CONFIG: after an outage of the store, daemons serve the old configuration for seconds after the bound. */
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, hasTrouble, runCase, waitUntil } from "../lib/case.mjs";
import { createAgent, sendAttempt } from "../lib/clients.mjs";
import { skimBounds } from "../lib/machines.mjs";
import { startProxy } from "../lib/proxy.mjs";
import { answerHeaders, startUpstream } from "../lib/upstreams.mjs";

const hostName = "pond.example";
const deadlineMs = 2_500;
const configApplyMs = 2_000;
const contactWindowMs = 3_000;
/** Time from a first change of the configuration to the outage. */
const outageAfterChangeMs = 1_000;
/** Length of the outage of the store. */
const outageMs = 5_500;
/** Time from the end of the outage to the operator's change. */
const changeAfterMs = 200;
/** Time for which requests are sent after the machines are in touch again. */
const observeMs = 6_000;
const requestGapMs = 100;

const viewRoute = service => ({
    name: "view",
    kind: "safe",
    service,
    prefix: "/view/",
    timeout: "1200ms",
    aim: "400ms",
});
const addedRoute = { ...viewRoute("loadlog"), name: "added", prefix: "/added/" };
const droppedRoute = { ...viewRoute("pondboard"), name: "dropped", prefix: "/dropped/" };

await runCase("review/5/record.txt", async ({ store, addMachine, onEnd, note }) => {
    const services = ["pondboard", "loadlog"];
    const put = (version, routes) =>
        store.put("op", "config", createConfiguration({ version, hostName, services, routes }));
    put(100, [viewRoute("pondboard"), droppedRoute]);
    const proxy = await startProxy(store.address);
    onEnd(() => proxy.close());
    const site = { region: "mafraq", bounds: skimBounds, store: proxy.address };
    const machines = [
        await addMachine({ ...site, name: "pond-a", zone: "mafraq-a", service: "pondboard" }),
        await addMachine({ ...site, name: "load-a", zone: "mafraq-a", service: "loadlog" }),
        await addMachine({ ...site, name: "pond-b", zone: "mafraq-b", service: "pondboard" }),
        await addMachine({ ...site, name: "load-b", zone: "mafraq-b", service: "loadlog" }),
    ];
    const upstreams = [];
    for (const machine of machines) {
        const upstream = await startUpstream({
            id: `i-${machine.name}`,
            service: machine.service(),
            zone: machine.zone,
            port: machine.applicationPort,
            controlPlane: machine.controlPlane,
            async onRun(run, _request, response) {
                await sleep(10);
                response.writeHead(200, answerHeaders(run)).end(`answered by ${run.service}`);
            },
        });
        upstreams.push(upstream);
        onEnd(() => upstream.close());
    }
    const agent = createAgent();
    const attempt = (machine, path) =>
        sendAttempt({ to: machine.outbound, host: hostName, path, deadlineMs, agent });
    await waitUntil(
        async () => (await Promise.all(machines.map(machine => machine.isReady()))).every(ready => ready),
        { timeoutMs: 20_000, what: "all machines are ready" },
    );
    await waitUntil(
        async () => {
            const answers = await Promise.all(machines.map(machine => attempt(machine, "/view/1").done));
            return answers.every(({ status }) => status === 200);
        },
        { timeoutMs: 20_000, what: "all machines serve the first configuration" },
    );
    await sleep(contactWindowMs + 1_000);
    put(103, [{ ...viewRoute("pondboard"), timeout: "1300ms" }, droppedRoute]);
    note("version 103 acknowledged: another timeout");
    await sleep(outageAfterChangeMs);

    if (hasTrouble) {
        proxy.silence();
        note("the store is down (silent)");
    }
    await sleep(outageMs);
    proxy.restore();
    const endedAt = Date.now();
    note("the store is back");
    await sleep(changeAfterMs);
    put(107, [viewRoute("loadlog"), addedRoute]);
    const acknowledgedAt = Date.now();
    note("version 107 acknowledged: /view/ moves to loadlog, /added/ is new, /dropped/ is gone");
    const boundAt = Math.max(acknowledgedAt + configApplyMs, endedAt + contactWindowMs);
    await sleep(boundAt + 50 - Date.now());

    const sent = [];
    while (Date.now() < boundAt + observeMs) {
        for (const machine of machines) {
            for (const path of ["/view/1", "/added/1", "/dropped/1"]) {
                const request = attempt(machine, path);
                sent.push(request.done.then(answer => ({ ...answer, machine: machine.name })));
            }
        }
        await sleep(requestGapMs);
    }
    const answers = await Promise.all(sent);
    agent.destroy();
    note(`sent ${answers.length} from ${boundAt - acknowledgedAt} ms after the acknowledgement on`);
    const isOutdated = {
        "/view/1": ({ body }) => body === "answered by pondboard",
        "/added/1": ({ status }) => status === 404,
        "/dropped/1": ({ status }) => status === 200,
    };
    const outdated = answers.filter(answer => isOutdated[answer.path](answer));
    outdated.forEach(({ id, machine, path, sentAt, status, body }) =>
        note(
            `${id} to ${machine} ${path}, sent ${sentAt - acknowledgedAt} ms after the acknowledgement: ${status} ${body}`,
        ),
    );
    const lastSentAt = Math.max(0, ...outdated.map(({ sentAt }) => sentAt)) - acknowledgedAt;
    return outdated.length === 0
        ? []
        : [
              `CONFIG ${outdated.length} of ${answers.length} requests handled by version 103, until ${lastSentAt} ms after the acknowledgement`,
          ];
});
