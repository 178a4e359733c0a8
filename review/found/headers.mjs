/** Trial: statuses of requests with many headers or long ones, all within `max-header-bytes`, that run on another machine. */
import { request as sendRequest } from "node:http";
import { createConfiguration, runCase, waitUntil } from "../lib/case.mjs";
import { skimBounds } from "../lib/machines.mjs";
import { answerHeaders, startUpstream } from "../lib/upstreams.mjs";

const hostName = "pond.example";
const headerCounts = [0, 80, 92, 95, 110];
const headerBytes = [10_000, 15_800, 16_000];

await runCase("review/found/headers.txt", async ({ store, addMachine, onEnd, note }) => {
    const route = {
        name: "view",
        kind: "safe",
        service: "pondboard",
        prefix: "/pond/",
        timeout: "1200ms",
        aim: "400ms",
    };
    const services = ["pondboard", "loadlog"];
    store.put("op", "config", createConfiguration({ version: 100, hostName, services, routes: [route] }));
    const site = { zone: "mafraq-a", region: "mafraq", bounds: skimBounds };
    const entry = await addMachine({ ...site, name: "entry", service: "loadlog" });
    const other = await addMachine({ ...site, name: "other", service: "pondboard" });
    const upstream = await startUpstream({
        id: "i-other",
        service: "pondboard",
        zone: other.zone,
        port: other.applicationPort,
        controlPlane: other.controlPlane,
        async onRun(run, _request, response) {
            response.writeHead(200, answerHeaders(run)).end("answered");
        },
    });
    onEnd(() => upstream.close());
    let sentCount = 0;
    const attempt = headers =>
        new Promise(resolve => {
            sentCount += 1;
            const call = sendRequest({
                ...entry.outbound,
                path: "/pond/1",
                agent: false,
                headers: {
                    host: hostName,
                    "x-attempt-id": `trial-${sentCount}`,
                    "x-request-deadline": "1500",
                    ...headers,
                },
            });
            call.on("response", response => {
                response.resume();
                response.on("end", () => resolve(response.statusCode));
            });
            call.on("error", () => resolve(0));
            call.end();
        });
    await waitUntil(async () => (await attempt({})) === 200, {
        timeoutMs: 20_000,
        what: "requests are served",
    });
    const results = [];
    const record = async (text, headers) => {
        const status = await attempt(headers);
        note(`${text}: ${status}`);
        results.push({ text, status });
    };
    for (const count of headerCounts) {
        const names = Array.from({ length: count }, (_unused, index) => [`x-trial-${index}`, "1"]);
        await record(`${count} more headers`, Object.fromEntries(names));
    }
    for (const bytes of headerBytes) {
        await record(`a header of ${bytes} bytes`, { "x-trial": "a".repeat(bytes) });
    }
    return results.filter(({ status }) => status !== 200).map(({ text, status }) => `${text}: ${status}`);
});
