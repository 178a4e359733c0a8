import type { Settings } from "@tanagertray/daemon";

/** Valid settings. Port 0 is not valid in a settings file, so tests that listen pass their own ports. */
export function validSettings(
    ports: { calls: number; peer: number; admin: number } = defaultPorts,
): Settings {
    return {
        host: "h1",
        failureDomain: "d1",
        region: "r1",
        listen: {
            calls: `127.0.0.1:${ports.calls}`,
            peer: `127.0.0.1:${ports.peer}`,
            admin: `127.0.0.1:${ports.admin}`,
        },
        platform: { url: "http://127.0.0.1:9" },
        keys: {
            operator: ["operator-token-0001", "operator-token-0002"],
            backendServer: ["backend-token-0001"],
            peer: ["peer-key-00000001"],
        },
    };
}

const defaultPorts = { calls: 8_080, peer: 8_081, admin: 8_082 };
