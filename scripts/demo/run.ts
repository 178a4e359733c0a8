import { setTimeout as sleep } from "node:timers/promises";
import { createDemoBoard, type DemoBoard, type DemoHost } from "./board.js";
import { createControlByteMeter, type ControlByteMeter } from "./controlBytes.js";
import type { Deployment } from "./deployment.js";
import { createFleet, type Fleet } from "./fleet.js";
import { createProcesses } from "./processes.js";
import { createReport, describeIncompleteCalls, type Report } from "./report.js";
import { createRolloutOperator, type RolloutOperator } from "./rollout.js";
import { createTraffic, type Traffic } from "./traffic.js";

/** Duration of undisturbed traffic around each change, in milliseconds. */
const steadyTrafficMs = 1_500;

interface DemoContext {
    readonly board: DemoBoard;
    readonly fleet: Fleet;
    readonly meter: ControlByteMeter;
    readonly operator: RolloutOperator;
    readonly traffic: Traffic;
}

const DemoStep = {
    StartHosts: "startHosts",
    FirstVersion: "firstVersion",
    StartCalls: "startCalls",
    SecondVersion: "secondVersion",
    DrainBackendServer: "drainBackendServer",
    RestartDaemon: "restartDaemon",
    StopCalls: "stopCalls",
} as const;
type DemoStep = (typeof DemoStep)[keyof typeof DemoStep];

/** Runs a step and resolves with a progress message. */
type StepHandler = (context: DemoContext, signal: AbortSignal) => Promise<string>;

const stepHandlers = {
    [DemoStep.StartHosts]: async ({ board, fleet }, signal) => {
        await fleet.start(signal);
        return `${board.read("hosts").length} daemons and their backend servers are running`;
    },
    [DemoStep.FirstVersion]: async ({ board, operator }, signal) => {
        await operator.rollOut(board.read("deployment").answersFile, signal);
        return `version ${board.read("rollout").version} is in force on every host`;
    },
    [DemoStep.StartCalls]: async ({ traffic }, signal) => {
        traffic.start();
        await sleep(steadyTrafficMs, undefined, { signal });
        return "sending calls to every service";
    },
    [DemoStep.SecondVersion]: async ({ board, operator }, signal) => {
        await operator.rollOut(board.read("deployment").secondAnswersFile, signal);
        const { version, convergenceMs } = board.read("rollout");
        return `version ${version} is in force on every host ${convergenceMs} ms after the accept`;
    },
    [DemoStep.DrainBackendServer]: async ({ board, traffic }, signal) => {
        const host = board.read("hosts").at(-1) as DemoHost;
        await traffic.drain(host, signal);
        await sleep(steadyTrafficMs, undefined, { signal });
        return `the backend server of ${host.host} has drained`;
    },
    [DemoStep.RestartDaemon]: async ({ board, fleet }, signal) => {
        const host = board.read("hosts")[1] as DemoHost;
        const { graceful, readyMs } = await fleet.restartDaemon(host, signal);
        await sleep(steadyTrafficMs, undefined, { signal });
        const shutdown = graceful ? "ended by itself after SIGTERM" : "had to be killed";
        return `the daemon of ${host.host} ${shutdown} and is ready again ${readyMs} ms after its start`;
    },
    [DemoStep.StopCalls]: async ({ board, meter, traffic }) => {
        await traffic.finish();
        await meter.measure();
        const { peer } = board.read("controlBytes");
        const source = peer === undefined ? "not reported by the daemons" : "read from /metrics";
        return (
            "control bytes: platform requests counted by relays, " +
            `links between daemons ${source}; calls not completed: ${describeIncompleteCalls(board)}`
        );
    },
} satisfies Record<DemoStep, StepHandler>;

/** Runs every step. Always stops the traffic and every process that was started. */
export async function runDemo(
    deployment: Deployment,
    signal: AbortSignal,
    print: (line: string) => void,
): Promise<Report> {
    const board = createDemoBoard(deployment);
    const progress = board.claimFeed("progress");
    board.follow("progress", print);
    const processes = createProcesses(board);
    const meter = createControlByteMeter(board);
    const fleet = createFleet(board, processes, meter);
    const traffic = createTraffic(board);
    const context: DemoContext = { board, fleet, meter, traffic, operator: createRolloutOperator(board) };
    const startedAt = performance.now();
    try {
        for (const step of Object.values(DemoStep)) {
            signal.throwIfAborted();
            const message = await stepHandlers[step](context, signal);
            progress.append(`${((performance.now() - startedAt) / 1_000).toFixed(1)} s  ${message}`);
        }
        return await createReport(board);
    } finally {
        await traffic.close();
        await processes.stopAll();
        await meter.close();
        await fleet.close();
        board.close();
    }
}
