/** Public API for programs that embed the daemon. */
export * from "./board.js";
export * from "./closeable.js";
export * from "./start.js";
export * from "./settings/settings.js";
export * from "./settings/resolveSettings.js";
export * from "./settings/checkSettings.js";
export * from "./adapters/admin/adminListener.js";
export * from "./adapters/log.js";
export * from "./adapters/traces.js";
