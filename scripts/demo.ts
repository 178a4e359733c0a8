/** Starts a small deployment as separate processes and carries one call through it. */
import { startPlatform } from "@tanagertray/standin";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const folder = mkdtempSync(join(tmpdir(), "tanagertray-"));
const platform = await startPlatform();
const settingsFile = join(folder, "host.jsonc");
const listen = { calls: "127.0.0.1:18080", peer: "127.0.0.1:18081", admin: "127.0.0.1:18082" };
const keys = { operator: ["operator"], backendServer: ["backend"], peer: ["peer"] };
const settings = {
    host: "h1",
    failureDomain: "d1",
    region: "r1",
    listen,
    keys,
    platform: { url: platform.url },
};
writeFileSync(settingsFile, JSON.stringify(settings));
const daemon = spawn(process.execPath, ["packages/daemon/dist/main.js", "--settings", settingsFile], {
    stdio: "inherit",
});
const backend = createServer((_request, response) => response.end("pond cover 71%")).listen(
    18090,
    "127.0.0.1",
);

const answers = {
    deployment: "demo",
    services: {
        "cover-board": {
            slots: 20,
            connections: 130,
            operations: [{ name: "read", method: "GET", path: "/**", repeatable: true }],
        },
    },
    callers: { crews: { mayCall: ["cover-board"] } },
};

async function post(path: string, token: string, body: unknown): Promise<unknown> {
    const response = await fetch(`http://${listen.admin}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${token}` },
        body: JSON.stringify(body),
    });
    return response.json();
}

await sleep(500);
const announcement = {
    id: "s1",
    service: "cover-board",
    address: "127.0.0.1:18090",
    incarnation: 1,
    counter: 1,
    state: "serving",
};
await post("/v1/backend-servers", "backend", announcement);
const revision = (await post("/v1/revisions", "operator", { answers, operator: "dana" })) as {
    number: number;
};
const head = await post("/v1/accept", "operator", { revision: revision.number, operator: "dana" });
await sleep(1_500);
const reply = await fetch(`http://${listen.calls}/cover-board/ponds/3`, {
    headers: { "tanagertray-caller": "crews" },
});
process.stdout.write(
    `${JSON.stringify({ revision, head, status: reply.status, body: await reply.text() })}\n`,
);
daemon.kill("SIGTERM");
backend.close();
backend.closeAllConnections();
await platform.close();
rmSync(folder, { recursive: true });
