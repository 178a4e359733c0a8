import type { AnswerMode } from "@tanagertray/standin";
import type { SiteServerCommand } from "@tanagertray/standin/siteServerMain";
import type { ServerProcess } from "./board.js";
import { FaultKind, type Fault, type FaultHandler, type FaultHandlers } from "./faults.js";

/** Operations on backend servers, addressed by host index. */
export interface ServerActions {
    runningServer(host: number): ServerProcess | undefined;
    signal(host: number, name: NodeJS.Signals): void;
    send(host: number, command: SiteServerCommand): void;
    /** Ends the processes with a signal. Their successors get new ids unless `keepsId` is set. */
    replace(fault: Fault, name: NodeJS.Signals, keepsId?: boolean): void;
    /** Swaps the addresses of the next processes of two hosts. */
    swapAddresses(first: number, second: number): void;
}

/** Creates the handlers of backend server faults. */
export function createServerFaults(actions: ServerActions): FaultHandlers {
    const { runningServer, signal, send, replace, swapAddresses } = actions;

    /** Makes the backend server drain or deregister. It is replaced when the fault ends. */
    const sendDeparture = (command: SiteServerCommand["command"]): FaultHandler => ({
        begin: ({ hosts }) => hosts.forEach(host => send(host, { command })),
        end: ({ hosts }) =>
            hosts.filter(host => runningServer(host)?.isLeaving).forEach(host => signal(host, "SIGKILL")),
    });
    const setMode = (hosts: readonly number[], mode: AnswerMode) =>
        hosts.forEach(host => send(host, { command: "setMode", mode }));

    return {
        [FaultKind.StopServer]: { begin: fault => replace(fault, "SIGTERM") },
        [FaultKind.KillServer]: { begin: fault => replace(fault, "SIGKILL") },
        [FaultKind.LosePower]: { begin: fault => replace(fault, "SIGKILL") },
        [FaultKind.RestartServer]: { begin: fault => replace(fault, "SIGKILL", true) },
        [FaultKind.PauseServer]: {
            begin: ({ hosts }) => hosts.forEach(host => signal(host, "SIGSTOP")),
            end: ({ hosts }) => hosts.forEach(host => signal(host, "SIGCONT")),
        },
        [FaultKind.Answer]: {
            begin: ({ hosts, detail }) => setMode(hosts, detail as AnswerMode),
            end: ({ hosts }) => setMode(hosts, "whole"),
        },
        [FaultKind.Drain]: sendDeparture("drain"),
        [FaultKind.Leave]: sendDeparture("leave"),
        [FaultKind.SwapAddresses]: {
            begin(fault) {
                const [first = 0, second = 0] = fault.hosts;
                swapAddresses(first, second);
                replace(fault, "SIGKILL");
            },
        },
    };
}
