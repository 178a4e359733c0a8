import { NewConnections, RelayDirection, type Relay } from "@tanagertray/standin";
import type { SoakBoard } from "./board.js";
import { FaultKind, handleFaults, type Fault, type FaultHandler, type Link } from "./faults.js";
import type { Site } from "./site.js";

/** Maximum delay of each chunk, in milliseconds. A shorter fault delays chunks by its own duration. */
const maxDelayMs = 250;

/** Injects the connection faults at the relays. */
export function createConnections(board: SoakBoard, { siteHosts }: Site): void {
    const disruptions = board.claimValue("disruptions");

    const relaysOf = ({ hosts, detail }: Fault) =>
        hosts.flatMap(host => siteHosts[host]?.relays.get(detail as Link) ?? []);

    function disrupt(fault: Fault, ms: number, begin: (relay: Relay, fault: Fault) => void): void {
        relaysOf(fault).forEach(relay => begin(relay, fault));
        const from = Date.now();
        const link = fault.detail as Link;
        const entries = fault.hosts.map(host => ({ host, link, from, to: from + ms }));
        disruptions.update(before => [...before, ...entries]);
    }

    /** Creates the handler of a fault that lasts until its end. */
    const disruptUntilEnd = (begin: (relay: Relay, fault: Fault) => void): FaultHandler => ({
        begin: fault => disrupt(fault, fault.durationMs, begin),
        end: fault => relaysOf(fault).forEach(relay => relay.restore()),
    });

    handleFaults(board, {
        [FaultKind.Cut]: disruptUntilEnd(relay => relay.cut()),
        [FaultKind.Reset]: {
            begin: fault =>
                disrupt(fault, 0, relay => {
                    relay.cut();
                    relay.restore();
                }),
        },
        [FaultKind.SilenceOpen]: disruptUntilEnd(relay => relay.silence()),
        [FaultKind.SilenceAll]: disruptUntilEnd(relay =>
            relay.silence({ newConnections: NewConnections.Silent }),
        ),
        [FaultKind.SilenceRequests]: disruptUntilEnd(relay =>
            relay.silence({ direction: RelayDirection.ToTarget }),
        ),
        [FaultKind.SilenceAnswers]: disruptUntilEnd(relay =>
            relay.silence({ direction: RelayDirection.FromTarget }),
        ),
        [FaultKind.Delay]: disruptUntilEnd((relay, { durationMs }) =>
            relay.delay(Math.min(durationMs, maxDelayMs)),
        ),
    });
}
