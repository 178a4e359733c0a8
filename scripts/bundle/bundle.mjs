/** Bundles the daemon for the platform into one file and creates its V8 code cache, which shortens startup. */
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync, readFileSync, rmSync } from "node:fs";
import { createRequire } from "node:module";

const bundle = "target/daemon.cjs";
const cache = "target/daemon.cache";
const warmUp = "target/warmUp.cjs";
/** Timeout for creating the code cache, in milliseconds. */
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
        // The daemon uses only HTTP/1.1, so startup does not have to load HTTP/2.
        "node:http2": "./scripts/bundle/noHttp2.cjs",
    },
    define: {
        // Control messages are few and small, so startup skips the search for the native decoder.
        "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": JSON.stringify("true"),
    },
    plugins: [
        {
            name: "workspace sources",
            setup(context) {
                // Workspace subpaths are compiled from source, so the bundle does not depend on an earlier build step.
                // The undici alias must not apply to the subpaths that it imports itself.
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

await build({
    entryPoints: ["scripts/bundle/warmUp.ts"],
    outfile: warmUp,
    bundle: true,
    platform: "node",
    mainFields: ["module", "main"],
    target: "node20",
    format: "cjs",
    logLevel: "warning",
    alias: {
        "@tanagertray/core": "./packages/core/src/index.ts",
        "@tanagertray/standin": "./packages/standin/src/index.ts",
    },
});

// V8 rejects a cache that was created with other flags, so the flags of the deployed daemon are used.
const [, flags = ""] = /^run = "node (.*) target\//m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
rmSync(cache, { force: true });
const { status } = spawnSync(
    process.execPath,
    [...flags.split(" "), "scripts/bundle/codeCache.cjs", bundle, cache, warmUp],
    { stdio: ["ignore", "ignore", "inherit"], timeout: cacheTimeoutMs },
);
if (status !== 0) {
    process.stderr.write("The code cache could not be created; the daemon starts without it.\n");
}
copyFileSync("scripts/bundle/loader.cjs", "target/tanagertray.cjs");
