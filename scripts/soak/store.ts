import { createOperatorRow, StoreFault, type StoreFaults } from "@tanagertray/standin";
import type { SoakBoard } from "./board.js";
import { CallKind, routeTimeoutMs } from "./call.js";
import { FaultKind, handleFaults, StoreDelay, type Fault } from "./faults.js";
import type { Site } from "./site.js";

const healthy: StoreFaults = { fault: StoreFault.None, delayMs: 0, staleTransactions: 0 };
const delays: Readonly<Record<string, Partial<StoreFaults>>> = {
    [StoreDelay.Slow]: { delayMs: 700 },
    [StoreDelay.Stale]: { staleTransactions: 3 },
};

/** Writes the operator's configuration versions and injects faults at the store endpoints. */
export function createStoreFaults(board: SoakBoard, { store, siteHosts, services }: Site): void {
    const version = board.claimValue("version");

    function putVersion(): void {
        const number = board.read("version") + 1;
        const kinds = Object.values(CallKind);
        store.put(
            "op",
            "config",
            createOperatorRow({
                version: number,
                services,
                kinds,
                timeoutMs: routeTimeoutMs,
                hasVersionRoute: true,
            }),
        );
        version.write(number);
    }

    const setFaults = ({ hosts }: Fault, faults: StoreFaults) =>
        hosts.forEach(host => siteHosts[host]?.storeEndpoint.setFaults(faults));

    handleFaults(board, {
        [FaultKind.Store]: {
            begin: fault =>
                setFaults(fault, {
                    ...healthy,
                    ...(delays[fault.detail] ?? { fault: fault.detail as StoreFault }),
                }),
            end: fault => setFaults(fault, healthy),
        },
        [FaultKind.ChangeConfiguration]: { begin: putVersion },
    });
    putVersion();
}
