// Starts the bundled daemon with the code that the build compiled. V8 compiles anew when the cache is not its own.
"use strict";
const { readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { dirname, join } = require("node:path");
const { Script } = require("node:vm");

/** Compiles a bundle as a CommonJS module, which `run` then executes. */
function compileBundle(filename, source, cachedData) {
    const script = new Script(wrap(source), { filename, cachedData });
    const unit = { exports: {} };
    const run = () => script.runInThisContext()(unit.exports, require, unit, filename, dirname(filename));
    return { script, run };
}

function readCache(file) {
    try {
        return readFileSync(file);
    } catch {
        // A build that could not run the daemon has no cache; the start says so and is only slower.
        return undefined;
    }
}

exports.compileBundle = compileBundle;

/** Says in the form of the daemon's own log why a start takes longer. */
function logSlowStart(reason) {
    const line = { time: new Date().toISOString(), level: "warn", event: "process.codeCacheUnused", reason };
    process.stdout.write(`${JSON.stringify(line)}\n`);
}

if (require.main === module) {
    const bundle = join(__dirname, "daemon.cjs");
    const cache = readCache(join(__dirname, "daemon.cache"));
    const { script, run } = compileBundle(bundle, readFileSync(bundle, "utf8"), cache);
    if (cache === undefined) {
        logSlowStart("the build made none");
    } else if (script.cachedDataRejected) {
        logSlowStart("it was made by another V8 or with other flags");
    }
    run();
}
