/**
 * The parts of undici that the daemon uses. Its index loads fetch, caches and WebSocket too, which a start would pay
 * for. An import of a name that is missing here fails the bundling; a CommonJS module would give `undefined` instead.
 */
import api from "undici/lib/api/index.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, api);

export { default as buildConnector } from "undici/lib/core/connect.js";
export { default as Client } from "undici/lib/dispatcher/client.js";
export { default as Pool } from "undici/lib/dispatcher/pool.js";
