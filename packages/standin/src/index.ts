/** Public entry of the stand-ins used by the demo, the tests and the benchmarks. */
export * from "./platform.js";
