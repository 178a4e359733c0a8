// Runs bundled daemons as in a deployment and saves the code that V8 compiled for them, so that later processes compile
// little at their start and in their first calls.
"use strict";
const { once } = require("node:events");
const { mkdtempSync, readFileSync, rmSync, writeFileSync } = require("node:fs");
const { createServer } = require("node:net");
const { tmpdir } = require("node:os");
const { join, resolve } = require("node:path");
const { compileBundle } = require("./loader.cjs");

/** Number of daemons that run together: two in one failure domain and one in another region. */
const daemonCount = 3;
const addressesPerDaemon = 5;

function createSettings(index, [calls, peer, admin, announcements, readiness], store) {
    const region = index < daemonCount - 1 ? "near" : "far";
    return {
        daemon: {
            host: `build-${index}`,
            failureDomain: `build-${region}`,
            region: `build-${region}`,
            listen: { calls, peer, admin },
            platform: { url: `http://${store}`, watchMs: 3_000, patienceMs: 0 },
            trustedNetwork: true,
        },
        site: {
            service: `s${1 + (index % 2)}`,
            announcements,
            readiness,
            announcementPeriod: "1500ms",
            linkMbps: "100",
        },
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

async function createCache(bundle, cache, warmUpBundle) {
    const folder = mkdtempSync(join(tmpdir(), "tanagertray-"));
    const addresses = await findAddresses(addressesPerDaemon * daemonCount);
    const { script, run } = compileBundle(bundle, readFileSync(bundle, "utf8"), undefined);
    /** Runs the bundle once more in this process; the compiled code is shared by all runs. */
    const startDaemon = (index, store) => {
        const own = addresses.slice(addressesPerDaemon * index, addressesPerDaemon * (index + 1));
        const file = join(folder, `settings-${index}.jsonc`);
        writeFileSync(file, JSON.stringify(createSettings(index, own, store)));
        process.env.TANAGERTRAY_BOOT = file;
        run();
        const [calls, , , announcements, readiness] = own;
        return { calls, announcements, readiness };
    };
    await require(resolve(warmUpBundle)).warmUp({ startDaemon, daemons: daemonCount });
    writeFileSync(cache, script.createCachedData());
    rmSync(folder, { recursive: true });
}

const [, , bundle, cache, warmUpBundle] = process.argv;
void createCache(bundle, cache, warmUpBundle).then(
    () => process.exit(0),
    error => {
        process.stderr.write(`${error}\n`);
        process.exit(1);
    },
);
