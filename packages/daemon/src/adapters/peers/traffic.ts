/** Traffic of one kind of message. Bytes are those of the encoded messages, without WebSocket and TCP framing. */
export interface KindTraffic {
    readonly bytesIn: number;
    readonly bytesOut: number;
    readonly messagesIn: number;
    readonly messagesOut: number;
}

/** Traffic by kind of message since the start of the process. All handshake messages are counted as `handshake`. */
export interface PeerTraffic {
    readonly sameRegion: ReadonlyMap<string, KindTraffic>;
    readonly crossRegion: ReadonlyMap<string, KindTraffic>;
}

export const noTraffic: PeerTraffic = { sameRegion: new Map(), crossRegion: new Map() };

const noKindTraffic: KindTraffic = { bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 };

export interface TrafficCounter {
    countReceived(kind: string, crossRegion: boolean, bytes: number): void;
    countSent(kind: string, crossRegion: boolean, bytes: number): void;
    total(): PeerTraffic;
}

export function createTrafficCounter(): TrafficCounter {
    const sameRegion = new Map<string, KindTraffic>();
    const crossRegion = new Map<string, KindTraffic>();

    function count(kind: string, crossesRegion: boolean, update: (before: KindTraffic) => KindTraffic): void {
        const counts = crossesRegion ? crossRegion : sameRegion;
        counts.set(kind, update(counts.get(kind) ?? noKindTraffic));
    }

    return {
        countReceived: (kind, crossesRegion, bytes) =>
            count(kind, crossesRegion, before => ({
                ...before,
                bytesIn: before.bytesIn + bytes,
                messagesIn: before.messagesIn + 1,
            })),
        countSent: (kind, crossesRegion, bytes) =>
            count(kind, crossesRegion, before => ({
                ...before,
                bytesOut: before.bytesOut + bytes,
                messagesOut: before.messagesOut + 1,
            })),
        total: () => ({ sameRegion: new Map(sameRegion), crossRegion: new Map(crossRegion) }),
    };
}
