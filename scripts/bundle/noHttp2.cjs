// The part of `node:http2` that undici needs as long as no connection uses HTTP/2.
module.exports = { constants: {} };
