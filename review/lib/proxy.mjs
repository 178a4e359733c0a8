/** TCP proxy whose connections can go silent for good, without a reset, while later ones work. */
import { once } from "node:events";
import { connect, createServer } from "node:net";

/** Start of a request that waits for changes of the operator's rows. */
const watchRequest = "GET /-/rows-feed?table-name=op&";

/** @param target - `address:port` to which connections are forwarded */
export async function startProxy(target) {
    const [host, port] = target.split(":");
    const sockets = new Set();
    let isSilent = false;
    let lastWatchAt = 0;
    const server = createServer(client => {
        const link = { client, isDead: isSilent, upstream: undefined };
        sockets.add(link);
        client.on("error", () => undefined);
        client.on("close", () => {
            sockets.delete(link);
            link.upstream?.destroy();
        });
        if (link.isDead) {
            client.resume();
            return;
        }
        link.upstream = connect(Number(port), host);
        link.upstream.on("error", () => client.destroy());
        link.upstream.on("close", () => link.isDead || client.end());
        client.on("data", chunk => {
            if (chunk.includes(watchRequest)) {
                lastWatchAt = Date.now();
            }
            if (!link.isDead) {
                link.upstream.write(chunk);
            }
        });
        link.upstream.on("data", chunk => link.isDead || client.write(chunk));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const silenceOpen = () =>
        sockets.forEach(link => {
            link.isDead = true;
            link.upstream?.destroy();
        });
    return {
        address: `127.0.0.1:${server.address().port}`,
        /** When the last request for changes of the operator's rows came through. */
        lastWatchAt: () => lastWatchAt,
        /** Silences all connections and, until `restore`, every new one. */
        silence() {
            isSilent = true;
            silenceOpen();
        },
        /** Silences the open connections only. */
        silenceOpen,
        /** Resets the open connections only. */
        reset() {
            sockets.forEach(({ client, upstream }) => {
                upstream?.destroy();
                client.resetAndDestroy();
            });
        },
        /** New connections work again; the silenced ones stay silent. */
        restore: () => (isSilent = false),
        async close() {
            sockets.forEach(({ client }) => client.destroy());
            const closed = once(server, "close");
            server.close();
            await closed;
        },
    };
}
