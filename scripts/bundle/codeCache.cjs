// Runs the bundled daemon for a moment and keeps the code that V8 compiled for it, so that a start compiles little.
"use strict";
const { once } = require("node:events");
const { mkdtempSync, readFileSync, rmSync, writeFileSync } = require("node:fs");
const { createServer } = require("node:net");
const { tmpdir } = require("node:os");
const { join } = require("node:path");
const { setTimeout: sleep } = require("node:timers/promises");
const { compileBundle } = require("./loader.cjs");

/** Time in which the daemon opens its listeners and asks an absent platform a few times, in milliseconds. */
const runMs = 1_500;
/** Nothing listens on the discard port, so the platform counts as away. */
const absent = "http://127.0.0.1:9";

function createSettings([calls, peer, admin, announcements, readiness]) {
    return {
        daemon: {
            host: "build",
            failureDomain: "build",
            region: "build",
            listen: { calls, peer, admin },
            platform: { url: absent, watchMs: 3_000, patienceMs: 0 },
            trustedNetwork: true,
        },
        site: { service: "build", announcements, readiness, announcementPeriod: "1500ms" },
    };
}

/** Addresses on loopback whose ports were free a moment ago. */
async function findAddresses(count) {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const addresses = servers.map(server => `127.0.0.1:${server.address().port}`);
    await Promise.all(servers.map(server => once(server.close(), "close")));
    return addresses;
}

async function makeCache(bundle, cache) {
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
void makeCache(bundle, cache).then(() => process.exit(0));
