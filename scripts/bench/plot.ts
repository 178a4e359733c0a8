import type { Figure } from "./figure.js";

const width = 640;
const height = 360;
const margin = { left: 80, right: 150, top: 30, bottom: 45 };
const colours = ["#1b6ca8", "#d1495b", "#66a182", "#edae49"];

export interface Series {
    readonly label: string;
    readonly points: readonly (readonly [x: number, y: number])[];
}

export interface PlotOptions {
    readonly title: string;
    readonly xLabel: string;
    readonly yLabel: string;
    readonly series: readonly Series[];
}

/** Draws a line plot with a logarithmic x axis as an SVG document. */
export function drawPlot({ title, xLabel, yLabel, series }: PlotOptions): string {
    const points = series.flatMap(line => line.points);
    const xs = [...new Set(points.map(([x]) => x))].sort((a, b) => a - b);
    const top = Math.max(...points.map(([, y]) => y)) * 1.1;
    const [first, last] = [Math.log(xs[0] ?? 1), Math.log(xs.at(-1) ?? 1)];
    const innerWidth = width - margin.left - margin.right;
    const innerHeight = height - margin.top - margin.bottom;
    const toX = (x: number) => round(margin.left + ((Math.log(x) - first) / (last - first)) * innerWidth);
    const toY = (y: number) => round(margin.top + (1 - y / top) * innerHeight);
    const ticks = [0, 0.25, 0.5, 0.75, 1].map(share => share * top);
    const bottom = margin.top + innerHeight;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
        `<rect width="${width}" height="${height}" fill="white"/>`,
        `<text x="${margin.left}" y="18" font-size="14">${title}</text>`,
        ...ticks.flatMap(tick => [
            `<line x1="${margin.left}" x2="${margin.left + innerWidth}" y1="${toY(tick)}" y2="${toY(tick)}" stroke="#ddd"/>`,
            `<text x="${margin.left - 6}" y="${toY(tick) + 4}" text-anchor="end">${Number(tick.toPrecision(3))}</text>`,
        ]),
        ...xs.map(x => `<text x="${toX(x)}" y="${bottom + 16}" text-anchor="middle">${x}</text>`),
        `<text x="${margin.left + innerWidth / 2}" y="${height - 8}" text-anchor="middle">${xLabel}</text>`,
        `<text transform="translate(16 ${margin.top + innerHeight / 2}) rotate(-90)" text-anchor="middle">${yLabel}</text>`,
        ...series.flatMap((line, index) => drawSeries(line, index, { toX, toY })),
        "</svg>",
        "",
    ].join("\n");
}

function drawSeries(
    { label, points }: Series,
    index: number,
    { toX, toY }: { toX: (x: number) => number; toY: (y: number) => number },
): string[] {
    const colour = colours[index % colours.length];
    const path = points.map(([x, y]) => `${toX(x)},${toY(y)}`).join(" ");
    return [
        `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="2"/>`,
        ...points.map(([x, y]) => `<circle cx="${toX(x)}" cy="${toY(y)}" r="3" fill="${colour}"/>`),
        `<text x="${width - margin.right + 10}" y="${margin.top + 16 + index * 18}" fill="${colour}">${label}</text>`,
    ];
}

function round(value: number): number {
    return Number(value.toFixed(1));
}

/** Returns the series of one figure over the host counts in its names, `<before>/<hosts>/<after>`. */
export function seriesOf(figures: readonly Figure[], before: string, after: string, label: string): Series {
    const points = figures.flatMap(({ name, value }) => {
        const isPart = name.startsWith(`${before}/`) && name.endsWith(`/${after}`);
        const hosts = Number(name.slice(before.length + 1, name.length - after.length - 1));
        return isPart && Number.isInteger(hosts) ? [[hosts, value] as const] : [];
    });
    return { label, points };
}
