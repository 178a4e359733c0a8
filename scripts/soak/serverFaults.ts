import type { AnswerMode } from "@tanagertray/standin";
import type { SiteServerCommand } from "@tanagertray/standin/siteServerMain";
import type { ServerLife } from "./board.js";
import { FaultKind, type Fault, type FaultHandler, type FaultHandlers } from "./faults.js";

/** What can be done with the backend servers, by the number of their host. */
export interface ServerActions {
    living(host: number): ServerLife | undefined;
    signal(host: number, name: NodeJS.Signals): void;
    send(host: number, command: SiteServerCommand): void;
    /** Ends the processes by a signal; others follow, under another id unless the last argument says so. */
    replace(fault: Fault, name: NodeJS.Signals, keepsId?: boolean): void;
    /** Lets the next processes of two hosts have each other's addresses. */
    swapAddresses(first: number, second: number): void;
}

/** Faults of the backend servers. */
export function createServerFaults(actions: ServerActions): FaultHandlers {
    const { living, signal, send, replace, swapAddresses } = actions;

    /** Tells the daemon that the backend server leaves; another one follows when the fault ends. */
    const leaving = (command: SiteServerCommand["command"]): FaultHandler => ({
        begin: ({ hosts }) => hosts.forEach(host => send(host, { command })),
        end: ({ hosts }) =>
            hosts.filter(host => living(host)?.isLeaving).forEach(host => signal(host, "SIGKILL")),
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
        [FaultKind.Drain]: leaving("drain"),
        [FaultKind.Leave]: leaving("leave"),
        [FaultKind.SwapAddresses]: {
            begin(fault) {
                const [first = 0, second = 0] = fault.hosts;
                swapAddresses(first, second);
                replace(fault, "SIGKILL");
            },
        },
    };
}
