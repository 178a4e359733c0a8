/** Bundles the daemon of a deployment on the platform into one file, so that a start reads and parses little. */
import { build } from "esbuild";
import { createRequire } from "node:module";

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/tanagertray.cjs",
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
        undici: "./scripts/bundle/undici.cjs",
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
