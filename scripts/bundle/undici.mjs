// The parts of undici that the daemon uses. The index of undici also loads fetch, caches and WebSocket, which would
// slow startup. Because this is an ECMAScript module, the build fails when the daemon imports a name that is missing here.
import api from "undici/lib/api/index.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, api);

export { default as buildConnector } from "undici/lib/core/connect.js";
export { default as Client } from "undici/lib/dispatcher/client.js";
export { default as Pool } from "undici/lib/dispatcher/pool.js";
