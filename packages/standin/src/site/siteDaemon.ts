import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

/** Bundle of the daemon for the platform; `node scripts/bundle/bundle.mjs` makes it. */
const bundle = "target/tanagertray.cjs";
const settingsVariable = "TANAGERTRAY_BOOT";
const nanosecondsPerMillisecond = 1e6;
const kilobytesPerMegabyte = 1_024;

export interface SiteDaemonOptions {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly service: string;
    /** Five free loopback addresses. */
    readonly addresses: readonly [string, string, string, string, string];
    /** `address:port` of the metadata store. */
    readonly store: string;
    /** Existing folder for the settings file. */
    readonly folder: string;
    /**
     * Further flags of Node.
     * @default []
     */
    readonly nodeFlags?: readonly string[];
    /**
     * Address that other daemons use for this host, where a relay stands before it.
     * @default its own
     */
    readonly advertisedPeer?: string;
    /**
     * File to which the output is appended.
     * @default none; standard error goes to that of this process
     */
    readonly logFile?: string;
}

/** How a process ended. */
export interface DaemonExit {
    readonly code: number | null;
    readonly signal: NodeJS.Signals | null;
}

/** A bundled daemon with the settings and flags of a deployment, as a process of its own. */
export interface SiteDaemon {
    readonly calls: string;
    readonly admin: string;
    readonly announcements: string;
    /** Whether it says that it takes calls. */
    isReady(): Promise<boolean>;
    /** Processor time since its start, in milliseconds. Needs `/proc`. */
    processorMs(): number;
    /** Largest resident memory since its start, in megabytes of 2^20 bytes. Needs `/proc`. */
    peakMemoryMb(): number;
    /** Sends a signal, unless the process has ended. */
    signal(signal: NodeJS.Signals): void;
    readonly exited: Promise<DaemonExit>;
    close(signal?: NodeJS.Signals): Promise<void>;
}

/** Starts the bundled daemon as the deployment does. */
export function startSiteDaemon(options: SiteDaemonOptions): SiteDaemon {
    const { host, failureDomain, region, service, store, folder, nodeFlags = [], logFile } = options;
    const [calls, peer, admin, announcements, readiness] = options.addresses;
    const { advertisedPeer = peer } = options;
    const values: Readonly<Record<string, string>> = {
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
    };
    const file = join(folder, `${host}.jsonc`);
    const template = readFileSync("deploy/settings.template.jsonc", "utf8").replace(
        '"daemon": {',
        `"daemon": {\n        "advertise": { "peer": "${advertisedPeer}" },`,
    );
    writeFileSync(
        file,
        Object.entries(values).reduce(
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
    const send = (signal: NodeJS.Signals) => {
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
        processorMs: () => processorMs(child),
        peakMemoryMb: () => peakMemoryMb(child),
        signal: send,
        exited,
        async close(signal = "SIGKILL") {
            send(signal);
            await exited;
        },
    };
}

/** Flags of Node with which a deployment runs the daemon. */
function deploymentFlags(): readonly string[] {
    const [, flags = ""] =
        /^run = "node (.*) target\//m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
    return flags.split(" ");
}

/** The first field of `schedstat` is the time on a processor, in nanoseconds. */
function processorMs({ pid }: ChildProcess): number {
    const tasks = `/proc/${pid}/task`;
    return readdirSync(tasks).reduce((sum, task) => {
        const [spent = "0"] = readFileSync(`${tasks}/${task}/schedstat`, "utf8").split(" ");
        return sum + Number(spent) / nanosecondsPerMillisecond;
    }, 0);
}

/** `VmHWM` of `status` is the peak of the resident set, in kilobytes. */
function peakMemoryMb({ pid }: ChildProcess): number {
    const [, kilobytes = ""] = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8")) ?? [];
    return Number(kilobytes) / kilobytesPerMegabyte;
}
