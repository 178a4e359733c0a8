import { overload } from "./calls/overload.js";
import { selection } from "./calls/selection.js";
import type { Benchmark } from "./figure.js";

/** Every benchmark by its name. */
export const benchmarks: Readonly<Record<string, Benchmark>> = {
    overload,
    selection,
};
