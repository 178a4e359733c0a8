/** One measured figure, printed as a JSON line. */
export interface Figure {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    /** The same figure of the baseline in the same run. */
    readonly baseline?: number;
    /** `value / baseline` */
    readonly ratio?: number;
    readonly runs: number;
    readonly seed: number;
    /** Smallest and largest value of the runs. */
    readonly spread?: readonly [number, number];
}

export interface BenchmarkOptions {
    readonly seed: number;
    /** Number of repetitions of each measurement. */
    readonly runs: number;
}

export interface Benchmark {
    readonly summary: string;
    readonly run: (options: BenchmarkOptions) => Promise<readonly Figure[]>;
}

export interface FigureOptions extends BenchmarkOptions {
    readonly name: string;
    readonly unit: string;
    readonly values: readonly number[];
    readonly baselines?: readonly number[];
}

/** Returns the median and spread of several runs, with the ratio to the median of the baseline if there is one. */
export function toFigure(options: FigureOptions): Figure {
    const { name, unit, runs, seed } = options;
    const value = round(median(options.values));
    const spread = [round(Math.min(...options.values)), round(Math.max(...options.values))] as const;
    if (options.baselines === undefined) {
        return { name, value, unit, runs, seed, spread };
    }
    const baseline = round(median(options.baselines));
    const ratio = baseline === 0 ? undefined : round(value / baseline);
    return { name, value, unit, baseline, ...(ratio === undefined ? {} : { ratio }), runs, seed, spread };
}

export function median(values: readonly number[]): number {
    return percentile(values, 0.5);
}

/** Returns the nearest-rank percentile; `share` ranges from 0 to 1. */
export function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    const rank = Math.min(sorted.length - 1, Math.max(0, Math.ceil(share * sorted.length) - 1));
    return sorted[rank] ?? Number.NaN;
}

function round(value: number): number {
    return Number(value.toPrecision(4));
}
