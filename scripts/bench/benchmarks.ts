import type { Benchmark } from "./figure.js";

/** Every benchmark by its name. */
export const benchmarks: Readonly<Record<string, Benchmark>> = {};
