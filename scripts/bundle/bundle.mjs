/** Bundles the daemon of a deployment on the platform into one file with its compiled code, so that a start does little. */
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync, readFileSync, rmSync } from "node:fs";
import { createRequire } from "node:module";

const bundle = "target/daemon.cjs";
const cache = "target/daemon.cache";
/** Time for the run that compiles the code, in milliseconds. */
const cacheTimeoutMs = 30_000;

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: bundle,
    bundle: true,
    platform: "node",
    mainFields: ["module", "main"],
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: "none",
    logLevel: "warning",
    alias: {
        "@tanagertray/core": "./packages/core/src/index.ts",
        "@tanagertray/daemon": "./packages/daemon/src/index.ts",
        undici: "./scripts/bundle/undici.mjs",
        // The daemon speaks HTTP/1.1 only, so that a start need not load HTTP/2.
        "node:http2": "./scripts/bundle/noHttp2.cjs",
    },
    define: {
        // Control messages are few and small, so that a start need not look for the native decoder.
        "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": JSON.stringify("true"),
    },
    plugins: [
        {
            name: "workspace sources",
            setup(context) {
                // Subpaths of the workspaces are compiled from source, so that the build needs no other step.
                // The alias of undici must not catch its own subpaths.
                context.onResolve({ filter: /^undici\/lib\// }, ({ path }) => ({
                    path: createRequire(import.meta.url).resolve(path),
                }));
                context.onResolve({ filter: /^@tanagertray\/daemon\/.+/ }, ({ path, resolveDir }) =>
                    context.resolve(
                        path.replace(/^@tanagertray\/daemon\//, `${process.cwd()}/packages/daemon/src/`) +
                            ".ts",
                        { kind: "import-statement", resolveDir },
                    ),
                );
            },
        },
    ],
});

// V8 takes a cache only from a process with its own flags.
const [, flags = ""] = /^run = "node (.*) target\//m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
rmSync(cache, { force: true });
const { status } = spawnSync(
    process.execPath,
    [...flags.split(" "), "scripts/bundle/codeCache.cjs", bundle, cache],
    { stdio: ["ignore", "ignore", "inherit"], timeout: cacheTimeoutMs },
);
if (status !== 0) {
    process.stderr.write("The code cache was not made; the daemon starts without it.\n");
}
copyFileSync("scripts/bundle/loader.cjs", "target/tanagertray.cjs");
