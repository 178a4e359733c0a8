/** Reads figures as JSON lines from standard input and writes the plots of `docs/benchmarks.md`. */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import type { Figure } from "./bench/figure.js";
import { drawPlot, seriesOf } from "./bench/plot.js";

const folder = "docs/plots";
const lines = readFileSync(0, "utf8").split("\n");
const figures = lines.filter(line => line !== "").map(line => JSON.parse(line) as Figure);
const variants = ["azraq/eager", "azraq/lazy", "kuasa/eager", "kuasa/lazy"];

const plots = {
    "convergence-time.svg": { field: "last", yLabel: "ms until the last host holds the version" },
    "convergence-bytes.svg": { field: "bytesPerHost", yLabel: "control bytes per host" },
} satisfies Record<string, { field: string; yLabel: string }>;

mkdirSync(folder, { recursive: true });
for (const [file, { field, yLabel }] of Object.entries(plots)) {
    const series = variants.map(variant =>
        seriesOf(figures, `convergence/${variant}`, `${field}/vs-polling`, variant),
    );
    const plot = drawPlot({ title: "One change of one service", xLabel: "hosts", yLabel, series });
    writeFileSync(`${folder}/${file}`, plot);
}
