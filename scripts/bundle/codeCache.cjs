// Runs the bundled daemon briefly and saves the code that V8 compiled for it, so that later starts compile little.
"use strict";
const { once } = require("node:events");
const { mkdtempSync, readFileSync, rmSync, writeFileSync } = require("node:fs");
const { createServer } = require("node:net");
const { tmpdir } = require("node:os");
const { join } = require("node:path");
const { setTimeout: sleep } = require("node:timers/promises");
const { compileBundle } = require("./loader.cjs");

/** Run time of the daemon, in milliseconds. It opens its listeners and sends a few requests to the platform. */
const runMs = 1_500;
/** Nothing listens on the discard port, so the platform is unreachable. */
const unreachablePlatform = "http://127.0.0.1:9";

function createSettings([calls, peer, admin, announcements, readiness]) {
    return {
        daemon: {
            host: "build",
            failureDomain: "build",
            region: "build",
            listen: { calls, peer, admin },
            platform: { url: unreachablePlatform, watchMs: 3_000, patienceMs: 0 },
            trustedNetwork: true,
        },
        site: { service: "build", announcements, readiness, announcementPeriod: "1500ms" },
    };
}

/** Returns loopback addresses whose ports were free when they were checked. */
async function findAddresses(count) {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const addresses = servers.map(server => `127.0.0.1:${server.address().port}`);
    await Promise.all(servers.map(server => once(server.close(), "close")));
    return addresses;
}

async function createCache(bundle, cache) {
    const folder = mkdtempSync(join(tmpdir(), "tanagertray-"));
    const file = join(folder, "settings.jsonc");
    writeFileSync(file, JSON.stringify(createSettings(await findAddresses(5))));
    process.env.TANAGERTRAY_BOOT = file;
    const { script, run } = compileBundle(bundle, readFileSync(bundle, "utf8"), undefined);
    run();
    await sleep(runMs);
    writeFileSync(cache, script.createCachedData());
    rmSync(folder, { recursive: true });
}

const [, , bundle, cache] = process.argv;
void createCache(bundle, cache).then(() => process.exit(0));
