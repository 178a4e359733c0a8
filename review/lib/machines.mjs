/** Starts the daemon of a machine with the command of the deploy file and the settings that the platform renders. */
import { findFreePorts } from "../../packages/standin/dist/index.js";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

/** Bounds of `sites/azraq-skim.toml`, as the settings file states them. */
export const skimBounds = {
    "contact-window": "3000ms",
    "drain-timeout": "2000ms",
    "grace-period": "6s",
    "loss-slack": "200ms",
    "config-apply": "2000ms",
    "reuse-after": "2s",
};
/** Bounds of `large/azraq-skim-large.toml`. */
export const largeBounds = {
    ...skimBounds,
    "contact-window": "4000ms",
    "drain-timeout": "3000ms",
    "grace-period": "10s",
    "config-apply": "3000ms",
};

const internalPorts = 16;

/** Replaces `{{a.b.0}}` in a template by the value at that path. */
function render(template, fields) {
    return template.replace(/\{\{([a-z0-9.-]+)\}\}/g, (_match, path) => {
        const value = path.split(".").reduce((current, key) => current?.[key], fields);
        return value === undefined || value === null ? "" : String(value);
    });
}

function commandOfDeployFile() {
    const [, run = ""] = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
    return run.split(" ");
}

/**
 * Creates a machine whose daemon can be started, killed and started again with the same addresses.
 *
 * @param options - `name`, `zone`, `region`, `service`, `store`, `bounds`, `folder`
 */
export async function createMachine(options) {
    const { name, zone, region, store, bounds, folder } = options;
    const ports = await findFreePorts(4 + internalPorts);
    const [outbound, ready, controlPlane, application, ...internal] = ports;
    let { service } = options;
    const settingsFile = join(folder, `${name}.jsonc`);
    const logFile = join(folder, `${name}.log`);
    let child;

    function writeSettings() {
        const fields = {
            "node-name": name,
            role: "daemon",
            "machine-class": "sidecar",
            "ip-address": "127.0.0.1",
            zone,
            region,
            "listen-addresses": {
                outbound: `127.0.0.1:${outbound}`,
                ready: `127.0.0.1:${ready}`,
                "control-plane": `127.0.0.1:${controlPlane}`,
            },
            "internal-port-range": [internal[0], internal[1]],
            "heartbeat-interval": "1500ms",
            limits: { "link-mbps": 98 },
            bounds: Object.entries(bounds).map(([bound, value]) => `${bound}=${value}`),
            service,
            "application-address": `127.0.0.1:${application}`,
            platform: { address: store },
        };
        writeFileSync(settingsFile, render(readFileSync("deploy/settings.template.jsonc", "utf8"), fields));
    }

    const isRunning = () => child !== undefined && child.exitCode === null && child.signalCode === null;
    const machine = {
        name,
        zone,
        outbound: { host: "127.0.0.1", port: outbound },
        controlPlane: `http://127.0.0.1:${controlPlane}`,
        applicationPort: application,
        service: () => service,
        start() {
            writeSettings();
            const [program, ...words] = commandOfDeployFile();
            const log = openSync(logFile, "a");
            child = spawn(program, words, {
                env: {
                    PATH: process.env.PATH,
                    HOME: process.env.HOME,
                    LANG: process.env.LANG,
                    TANAGERTRAY_BOOT: settingsFile,
                },
                stdio: ["ignore", log, log],
            });
            closeSync(log);
        },
        /** Renders the settings with another service, as after a replacement of the upstream, and sends SIGHUP. */
        changeService(next) {
            service = next;
            writeSettings();
            machine.signal("SIGHUP");
        },
        signal(signal) {
            if (isRunning()) {
                child.kill(signal);
            }
        },
        async kill() {
            if (isRunning()) {
                const exited = once(child, "exit");
                child.kill("SIGKILL");
                await exited;
            }
        },
        async isReady() {
            const response = await fetch(`http://127.0.0.1:${ready}/-/readiness`).catch(() => undefined);
            await response?.arrayBuffer();
            return response?.status === 200;
        },
        log: () => readFileSync(logFile, "utf8"),
    };
    return machine;
}
