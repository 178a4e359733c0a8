// The parts of undici that the daemon uses. Its index loads fetch, caches and WebSocket too, which a start would pay for.
// Exports by name let the bundler refuse an import that is not among them.
import api from "undici/lib/api/index.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, api);

export { default as buildConnector } from "undici/lib/core/connect.js";
export { default as Client } from "undici/lib/dispatcher/client.js";
export { default as Pool } from "undici/lib/dispatcher/pool.js";
