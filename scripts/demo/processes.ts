import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import type { DemoBoard, RunningProcess } from "./board.js";

/** Time between SIGTERM and SIGKILL, in milliseconds. */
const stopTimeoutMs = 6_000;

export interface Processes {
    /** Starts a Node process; `firstLine` resolves with the first line of its standard output. */
    start(name: string, args: readonly string[], env?: Readonly<Record<string, string>>): StartedProcess;
    /** Stops the process with SIGTERM, or SIGKILL after the timeout; resolves with whether SIGTERM sufficed. */
    stop(name: string): Promise<boolean>;
    stopAll(): Promise<void>;
}

export interface StartedProcess extends RunningProcess {
    readonly firstLine: Promise<string>;
}

/** Starts and stops processes, and writes the `processes` section: those that have not been stopped yet. */
export function createProcesses(board: DemoBoard): Processes {
    const section = board.claimValue("processes");

    function start(name: string, args: readonly string[], env: Readonly<Record<string, string>> = {}) {
        const child = spawn(process.execPath, args, {
            stdio: ["ignore", "pipe", "inherit"],
            env: { ...process.env, ...env },
        });
        const exited = new Promise<void>(resolve => {
            child.once("exit", () => resolve());
            child.once("error", () => resolve());
        });
        const firstLine = new Promise<string>((resolve, reject) => {
            createInterface({ input: child.stdout }).once("line", resolve);
            void exited.then(() => reject(new Error(`${name} exited before it wrote a line`)));
        });
        firstLine.catch(() => undefined);
        const running = { name, child, exited };
        section.update(before => new Map(before).set(name, running));
        return { ...running, firstLine };
    }

    async function stop(name: string): Promise<boolean> {
        const running = board.read("processes").get(name);
        if (running === undefined) {
            return true;
        }
        const { child, exited } = running;
        child.kill("SIGTERM");
        const timeout = new AbortController();
        const timeoutElapsed = sleep(stopTimeoutMs, true, { signal: timeout.signal }).catch(() => false);
        const hasTimedOut = await Promise.race([exited.then(() => false), timeoutElapsed]);
        timeout.abort();
        if (hasTimedOut) {
            child.kill("SIGKILL");
            await exited;
        }
        section.update(before => new Map([...before].filter(([key]) => key !== name)));
        return !hasTimedOut;
    }

    return {
        start,
        stop,
        async stopAll() {
            await Promise.all([...board.read("processes").keys()].map(stop));
        },
    };
}
