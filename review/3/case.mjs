/** CONFIG: while the store turns away the daemons that read it, the daemons that it serves keep the old configuration. */
import { StoreFault } from "../../packages/standin/dist/index.js";
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, hasTrouble, runCase, waitUntil } from "../lib/case.mjs";
import { createAgent, sendAttempt } from "../lib/clients.mjs";
import { skimBounds } from "../lib/machines.mjs";
import { startProxy } from "../lib/proxy.mjs";
import { answerHeaders, startUpstream } from "../lib/upstreams.mjs";

const hostName = "pond.example";
const deadlineMs = 2_500;
const contactWindowMs = 3_000;
/** `config-apply` and the largest stretch of it while the store is not stable, `outer-bound`. */
const boundMs = 2_000 + 5_000;
/** Time for which the store turns the machines away, the longest of the site's own days. */
const turnedAwayMs = 9_000;
/** Time from the first refusal to the operator's change. */
const changeAfterMs = 500;
/** Time for which requests are sent after the bound. */
const observeMs = 6_000;
const requestGapMs = 100;
/** A daemon that reads the operator's rows sends a new request at least this often. */
const watchPeriodMs = 3_500;

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

await runCase("review/3/record.txt", async ({ store, addMachine, onEnd, note }) => {
    const services = ["pondboard", "loadlog"];
    const put = (version, routes) =>
        store.put("op", "config", createConfiguration({ version, hostName, services, routes }));
    put(100, [viewRoute("pondboard"), droppedRoute]);
    const machines = [];
    for (const zone of ["mafraq-a", "mafraq-b"]) {
        for (const service of ["pondboard", "loadlog", "pondboard"]) {
            // Each machine reaches the store at an address of its own, where the store can turn it away.
            const endpoint = await store.openEndpoint();
            const proxy = await startProxy(endpoint.address);
            onEnd(() => proxy.close());
            const name = `${zone}-${machines.length + 1}`;
            const site = { region: "mafraq", bounds: skimBounds, store: proxy.address };
            const machine = await addMachine({ ...site, name, zone, service });
            const upstream = await startUpstream({
                id: `i-${name}`,
                service,
                zone,
                port: machine.applicationPort,
                controlPlane: machine.controlPlane,
                async onRun(run, _request, response) {
                    await sleep(10);
                    response.writeHead(200, answerHeaders(run)).end(`answered by ${run.service}`);
                },
            });
            onEnd(() => upstream.close());
            machines.push({ machine, proxy, endpoint });
        }
    }
    const agent = createAgent();
    const attempt = ({ outbound }, path) =>
        sendAttempt({ to: outbound, host: hostName, path, deadlineMs, agent });
    await waitUntil(
        async () => {
            const answers = await Promise.all(
                machines.map(({ machine }) => attempt(machine, "/view/1").done),
            );
            return answers.every(({ status }) => status === 200);
        },
        { timeoutMs: 20_000, what: "all machines serve the first configuration" },
    );
    // The daemons settle after their start; then only the readers ask the store for changes.
    await sleep(contactWindowMs + 3 * watchPeriodMs);
    const isReader = ({ proxy }) => Date.now() - proxy.lastWatchAt() < watchPeriodMs;
    const readers = machines.filter(isReader);
    const others = machines.filter(entry => !readers.includes(entry)).map(({ machine }) => machine);
    note(`machines that read the operator's rows: ${readers.map(({ machine }) => machine.name).join(", ")}`);
    if (hasTrouble) {
        readers.forEach(({ endpoint, proxy }) => {
            endpoint.setFaults({ fault: StoreFault.Busy });
            // Requests that the store holds are turned away as well.
            proxy.reset();
        });
        note("the store resets the connections of these, answers them 503, and serves the others");
    }
    const startedAt = Date.now();
    await sleep(changeAfterMs);
    put(107, [viewRoute("loadlog"), addedRoute]);
    const acknowledgedAt = Date.now();
    note("version 107 acknowledged: /view/ moves to loadlog, /added/ is new, /dropped/ is gone");
    const restored = sleep(startedAt + turnedAwayMs - Date.now()).then(() => {
        readers.forEach(({ endpoint }) => endpoint.setFaults({ fault: StoreFault.None }));
        note("the store serves all machines");
    });
    await sleep(boundMs + 50);

    const sent = [];
    while (Date.now() < acknowledgedAt + boundMs + observeMs) {
        for (const machine of others) {
            for (const path of ["/view/1", "/added/1", "/dropped/1"]) {
                const request = attempt(machine, path);
                sent.push(request.done.then(answer => ({ ...answer, machine: machine.name })));
            }
        }
        await sleep(requestGapMs);
    }
    const answers = await Promise.all(sent);
    await restored;
    agent.destroy();
    note(`sent ${answers.length} to ${others.map(({ name }) => name).join(", ")}`);
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
              `CONFIG ${outdated.length} of ${answers.length} requests handled by version 100, until ${lastSentAt} ms after the acknowledgement`,
          ];
});
