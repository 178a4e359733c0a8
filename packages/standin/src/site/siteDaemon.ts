import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

/** Bundle of the daemon that is deployed on the platform; built by `node scripts/bundle/bundle.mjs`. */
const bundle = "target/tanagertray.cjs";
const settingsVariable = "TANAGERTRAY_BOOT";
const nanosecondsPerMillisecond = 1e6;
const kilobytesPerMegabyte = 1_024;

export interface SiteDaemonOptions {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly service: string;
    /** Five free loopback addresses: for calls, peers, the admin API, announcements and readiness. */
    readonly addresses: readonly [string, string, string, string, string];
    /** `address:port` of the metadata store. */
    readonly store: string;
    /** Existing folder for the settings file. */
    readonly folder: string;
    /**
     * Bounds of the deployment, as `name=value` texts.
     * @default none: the adapter uses its defaults
     */
    readonly bounds?: readonly string[];
    /**
     * Additional command-line flags of Node.js.
     * @default []
     */
    readonly nodeFlags?: readonly string[];
    /**
     * Address that other daemons use to reach this one, if it is behind a relay.
     * @default the peer address of the daemon itself
     */
    readonly advertisedPeer?: string;
    /**
     * File to which the output is appended.
     * @default none: standard output is discarded, standard error is inherited
     */
    readonly logFile?: string;
}

/** Exit status of the daemon process. */
export interface DaemonExit {
    readonly code: number | null;
    readonly signal: NodeJS.Signals | null;
}

/** The bundled daemon in a separate process, with the settings and flags of the deployment. */
export interface SiteDaemon {
    readonly calls: string;
    readonly admin: string;
    readonly announcements: string;
    /** Whether the readiness endpoint reports that the daemon is ready. */
    isReady(): Promise<boolean>;
    /** CPU time since its start, in milliseconds. Requires `/proc`. */
    cpuTimeMs(): number;
    /** Peak resident memory since its start, in MiB. Requires `/proc`. */
    peakMemoryMb(): number;
    /** Sends a signal unless the process has exited. */
    signal(signal: NodeJS.Signals): void;
    readonly exited: Promise<DaemonExit>;
    close(signal?: NodeJS.Signals): Promise<void>;
}

/** Starts the bundled daemon with the flags and the settings template of the deployment. */
export function startSiteDaemon(options: SiteDaemonOptions): SiteDaemon {
    const {
        host,
        failureDomain,
        region,
        service,
        store,
        folder,
        nodeFlags = [],
        logFile,
        bounds = [],
    } = options;
    const [calls, peer, admin, announcements, readiness] = options.addresses;
    const { advertisedPeer = peer } = options;
    const placeholders: Readonly<Record<string, string>> = {
        "node-name": host,
        zone: failureDomain,
        region,
        service,
        "listen-addresses.outbound": calls,
        "listen-addresses.control-plane": announcements,
        "listen-addresses.ready": readiness,
        "ip-address}}:{{internal-port-range.0": peer,
        "ip-address}}:{{internal-port-range.1": admin,
        "platform.address": store,
        "heartbeat-interval": "1500ms",
        bounds: bounds.join(","),
    };
    const file = join(folder, `${host}.jsonc`);
    const template = readFileSync("deploy/settings.template.jsonc", "utf8").replace(
        '"daemon": {',
        `"daemon": {\n        "advertise": { "peer": "${advertisedPeer}" },`,
    );
    writeFileSync(
        file,
        Object.entries(placeholders).reduce(
            (text, [name, value]) => text.replaceAll(`{{${name}}}`, value),
            template,
        ),
    );
    const output = logFile === undefined ? undefined : openSync(logFile, "a");
    const child = spawn(process.execPath, [...deploymentFlags(), ...nodeFlags, bundle], {
        env: { ...process.env, [settingsVariable]: file },
        stdio: ["ignore", output ?? "ignore", output ?? "inherit"],
    });
    if (output !== undefined) {
        closeSync(output);
    }
    const exited = once(child, "exit").then(([code, signal]): DaemonExit => ({
        code: code as number | null,
        signal: signal as NodeJS.Signals | null,
    }));
    const sendSignal = (signal: NodeJS.Signals) => {
        if (child.exitCode === null && child.signalCode === null) {
            child.kill(signal);
        }
    };
    return {
        calls,
        admin,
        announcements,
        isReady: () =>
            fetch(`http://${readiness}/-/readiness`).then(
                async response => {
                    await response.arrayBuffer();
                    return response.ok;
                },
                () => false,
            ),
        cpuTimeMs: () => cpuTimeMs(child),
        peakMemoryMb: () => peakMemoryMb(child),
        signal: sendSignal,
        exited,
        async close(signal = "SIGKILL") {
            sendSignal(signal);
            await exited;
        },
    };
}

/** Reads the Node.js flags from the run command in `deploy/system.toml`. */
function deploymentFlags(): readonly string[] {
    const [, flags = ""] =
        /^run = "node (.*) target\//m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
    return flags.split(" ");
}

/** Sums over all threads the first field of `schedstat`, which is the CPU time in nanoseconds. */
function cpuTimeMs({ pid }: ChildProcess): number {
    const tasks = `/proc/${pid}/task`;
    return readdirSync(tasks).reduce((sum, task) => {
        const [cpuTimeNs = "0"] = readFileSync(`${tasks}/${task}/schedstat`, "utf8").split(" ");
        return sum + Number(cpuTimeNs) / nanosecondsPerMillisecond;
    }, 0);
}

/** Reads `VmHWM` from `status`, which is the peak resident set size in kilobytes. */
function peakMemoryMb({ pid }: ChildProcess): number {
    const [, kilobytes = ""] = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8")) ?? [];
    return Number(kilobytes) / kilobytesPerMegabyte;
}
