// What undici needs of Node's HTTP/2 module while no connection speaks it.
module.exports = { constants: {} };
