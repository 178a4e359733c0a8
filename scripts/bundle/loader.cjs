// Starts the bundled daemon with the code cache of the build. V8 recompiles the code when it rejects the cache.
"use strict";
const { readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { dirname, join } = require("node:path");
const { Script } = require("node:vm");

/** Compiles a bundle as a CommonJS module; the returned `run` executes it. */
function compileBundle(filename, source, cachedData) {
    const script = new Script(wrap(source), { filename, cachedData });
    const bundleModule = { exports: {} };
    const run = () =>
        script.runInThisContext()(bundleModule.exports, require, bundleModule, filename, dirname(filename));
    return { script, run };
}

function readCache(file) {
    try {
        return readFileSync(file);
    } catch {
        // A build that could not run the daemon leaves no cache; startup logs this and is only slower.
        return undefined;
    }
}

exports.compileBundle = compileBundle;

/** Logs why startup takes longer, in the format of the daemon's log. */
function logSlowStart(reason) {
    const line = { time: new Date().toISOString(), level: "warn", event: "process.codeCacheUnused", reason };
    process.stdout.write(`${JSON.stringify(line)}\n`);
}

if (require.main === module) {
    const bundle = join(__dirname, "daemon.cjs");
    const cache = readCache(join(__dirname, "daemon.cache"));
    const { script, run } = compileBundle(bundle, readFileSync(bundle, "utf8"), cache);
    if (cache === undefined) {
        logSlowStart("the build created no code cache");
    } else if (script.cachedDataRejected) {
        logSlowStart("the code cache was created by another V8 version or with other flags");
    }
    run();
}
