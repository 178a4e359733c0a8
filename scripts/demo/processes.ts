import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import type { DemoBoard, RunningProcess } from "./board.js";

/** Time for a process to end after SIGTERM before it is killed. */
const stopTimeoutMs = 6_000;

export interface Processes {
    /** Starts a Node process; `firstLine` resolves with the first line of its standard output. */
    start(name: string, args: readonly string[], env?: Readonly<Record<string, string>>): StartedProcess;
    /** Ends the process with SIGTERM; returns whether it ended by itself in time. */
    stop(name: string): Promise<boolean>;
    stopAll(): Promise<void>;
}

export interface StartedProcess extends RunningProcess {
    readonly firstLine: Promise<string>;
}

/** Writes the `processes` section: every process that the demo has started and not yet ended. */
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
            void exited.then(() => reject(new Error(`${name} ended before it wrote a line`)));
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
        const late = sleep(stopTimeoutMs, true, { signal: timeout.signal }).catch(() => false);
        const isLate = await Promise.race([exited.then(() => false), late]);
        timeout.abort();
        if (isLate) {
            child.kill("SIGKILL");
            await exited;
        }
        section.update(before => new Map([...before].filter(([key]) => key !== name)));
        return !isLate;
    }

    return {
        start,
        stop,
        async stopAll() {
            await Promise.all([...board.read("processes").keys()].map(stop));
        },
    };
}
