/** Public entry of the stand-ins used by the demo, the tests and the benchmarks. */
export * from "./platform.js";
export * from "./backendServer.js";
export * from "./relay.js";
export * from "./freezableRelay.js";
export * from "./freePorts.js";
export * from "./ledger.js";
export * from "./loadGenerator.js";
export * from "./headers.js";
export * from "./site/metadataStore.js";
export * from "./site/siteServer.js";
export * from "./site/operatorRow.js";
export * from "./site/siteDaemon.js";
export * from "./site/siteRun.js";
export * from "./site/siteRun.js";
export * from "./site/runBody.js";
export * from "./stallMonitor.js";
