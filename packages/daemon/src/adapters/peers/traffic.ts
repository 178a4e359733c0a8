/** Bytes of one kind of message, as framed on the links, without the framing of WebSocket and TCP. */
export interface KindTraffic {
    readonly bytesIn: number;
    readonly bytesOut: number;
    readonly messagesIn: number;
    readonly messagesOut: number;
}

/** Traffic by kind of message since the start. Kinds of the handshake are counted as `handshake`. */
export interface PeerTraffic {
    readonly sameRegion: ReadonlyMap<string, KindTraffic>;
    readonly crossRegion: ReadonlyMap<string, KindTraffic>;
}

export const noTraffic: PeerTraffic = { sameRegion: new Map(), crossRegion: new Map() };

const zero: KindTraffic = { bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 };

export interface TrafficCounter {
    countIn(kind: string, crossRegion: boolean, bytes: number): void;
    countOut(kind: string, crossRegion: boolean, bytes: number): void;
    total(): PeerTraffic;
}

export function createTrafficCounter(): TrafficCounter {
    const sameRegion = new Map<string, KindTraffic>();
    const crossRegion = new Map<string, KindTraffic>();

    function count(kind: string, crosses: boolean, change: (before: KindTraffic) => KindTraffic): void {
        const counts = crosses ? crossRegion : sameRegion;
        counts.set(kind, change(counts.get(kind) ?? zero));
    }

    return {
        countIn: (kind, crosses, bytes) =>
            count(kind, crosses, before => ({
                ...before,
                bytesIn: before.bytesIn + bytes,
                messagesIn: before.messagesIn + 1,
            })),
        countOut: (kind, crosses, bytes) =>
            count(kind, crosses, before => ({
                ...before,
                bytesOut: before.bytesOut + bytes,
                messagesOut: before.messagesOut + 1,
            })),
        total: () => ({ sameRegion: new Map(sameRegion), crossRegion: new Map(crossRegion) }),
    };
}
