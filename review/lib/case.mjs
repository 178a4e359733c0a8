/** Frame of a case: a store, machines and a record, all ended when the case is over. */
import { startMetadataStore } from "../../packages/standin/dist/index.js";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createMachine } from "./machines.mjs";

/** Exit codes of a case. */
export const Verdict = { Held: 0, Broken: 1, CouldNotRun: 2 };

/** Whether the case runs with its disruption; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== "0";

const maxRunMs = 115_000;

/** Builds an operator's configuration with one host name. */
export function createConfiguration({ version, hostName, routes, services }) {
    return {
        version,
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 67_108_864,
            "header-timeout": "3000ms",
            "idle-timeout": "15000ms",
        },
        listeners: [
            {
                hostname: hostName,
                "rule-set": routes.map(({ name, kind, service, prefix, timeout, aim }) => ({
                    name,
                    kind,
                    "target-latency": aim,
                    priority: 1,
                    "match-criteria": { prefix },
                    "route-action": { service, timeout, "retry-attempts": 2 },
                })),
            },
        ],
        clusters: services.map(name => ({
            name,
            "health-check-path": "/health",
            "connection-limit": 130,
            protocol: "h1",
            tls: false,
        })),
    };
}

export async function waitUntil(condition, { timeoutMs, what }) {
    const deadline = Date.now() + timeoutMs;
    while (!(await condition())) {
        if (Date.now() > deadline) {
            throw new Error(`timeout: ${what}`);
        }
        await sleep(50);
    }
}

/**
 * Runs a case and ends the process with its verdict. The body gets the store, functions to add machines and closers, and
 * a function that writes a line of the record; it resolves with the reasons for which the rule is broken.
 *
 * @param recordFile - path of `record.txt`
 */
export async function runCase(recordFile, body) {
    const startedAt = Date.now();
    const lines = [];
    const closers = [];
    const machines = [];
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const note = text => lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3).padStart(8)} ${text}`);
    const limit = setTimeout(() => end(Verdict.CouldNotRun, "the case took too long"), maxRunMs);
    process.once("SIGTERM", () => void end(Verdict.CouldNotRun, "the case was stopped"));

    async function end(verdict, reason) {
        clearTimeout(limit);
        note(`verdict ${verdict}: ${reason}`);
        writeFileSync(recordFile, `${lines.join("\n")}\n`);
        process.stdout.write(`${lines.at(-1)}\n`);
        await Promise.all(machines.map(machine => machine.kill()));
        await Promise.all(closers.map(close => close().catch(() => undefined)));
        rmSync(folder, { recursive: true, force: true });
        process.exit(verdict);
    }

    try {
        note(`disruption: ${hasTrouble ? "yes" : "no"}`);
        const store = await startMetadataStore();
        closers.push(() => store.close());
        const addMachine = async options => {
            const machine = await createMachine({
                ...options,
                folder,
                store: options.store ?? store.address,
            });
            machines.push(machine);
            machine.start();
            return machine;
        };
        const onEnd = close => closers.push(close);
        const broken = await body({ store, addMachine, onEnd, note });
        if (process.env.KEEP_LOGS !== undefined) {
            machines.forEach(({ name, log }) => writeFileSync(`${process.env.KEEP_LOGS}/${name}.log`, log()));
        }
        await (broken.length > 0
            ? end(Verdict.Broken, `the rule is broken: ${broken.join("; ")}`)
            : end(Verdict.Held, "the rule held"));
    } catch (error) {
        await end(Verdict.CouldNotRun, String(error));
    }
}
