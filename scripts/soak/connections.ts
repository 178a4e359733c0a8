import { NewConnections, RelayDirection, type Relay } from "@tanagertray/standin";
import type { SoakBoard } from "./board.js";
import { FaultKind, followFaults, type Fault, type FaultHandler, type Link } from "./faults.js";
import type { Site } from "./site.js";

/** Greatest delay of each chunk, in milliseconds; a fault uses its duration where that is shorter. */
const maxDelayMs = 250;

/** Disturbs the connections that pass relays. */
export function createConnections(board: SoakBoard, { places }: Site): void {
    const disturbances = board.claimValue("disturbances");

    const relaysOf = ({ hosts, detail }: Fault) =>
        hosts.flatMap(host => places[host]?.relays.get(detail as Link) ?? []);

    function disturb(fault: Fault, ms: number, begin: (relay: Relay, fault: Fault) => void): void {
        relaysOf(fault).forEach(relay => begin(relay, fault));
        const from = Date.now();
        const link = fault.detail as Link;
        const entries = fault.hosts.map(host => ({ host, link, from, to: from + ms }));
        disturbances.update(before => [...before, ...entries]);
    }

    /** A fault that holds bytes back until it ends. */
    const holding = (begin: (relay: Relay, fault: Fault) => void): FaultHandler => ({
        begin: fault => disturb(fault, fault.ms, begin),
        end: fault => relaysOf(fault).forEach(relay => relay.restore()),
    });

    followFaults(board, {
        [FaultKind.Cut]: holding(relay => relay.cut()),
        [FaultKind.Reset]: {
            begin: fault =>
                disturb(fault, 0, relay => {
                    relay.cut();
                    relay.restore();
                }),
        },
        [FaultKind.SilenceOpen]: holding(relay => relay.silence()),
        [FaultKind.SilenceAll]: holding(relay => relay.silence({ newConnections: NewConnections.Silent })),
        [FaultKind.SilenceRequests]: holding(relay => relay.silence({ direction: RelayDirection.ToTarget })),
        [FaultKind.SilenceAnswers]: holding(relay => relay.silence({ direction: RelayDirection.FromTarget })),
        [FaultKind.Delay]: holding((relay, { ms }) => relay.delay(Math.min(ms, maxDelayMs))),
    });
}
