// The parts of undici that the daemon uses. Its index loads fetch, caches and WebSocket too, which a start would pay for.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const api = require("undici/lib/api/index.js");

Object.assign(Dispatcher.prototype, api);

module.exports.Pool = require("undici/lib/dispatcher/pool.js");
module.exports.buildConnector = require("undici/lib/core/connect.js");
