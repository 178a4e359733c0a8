import { fetchDeadlineMs, fetchRetryMs, maxInitialPartReads, maxPartsInFlight } from "../constants.js";
import { MessageKind } from "../messages/peerMessage.js";
import { neededNames } from "./needs.js";
import {
    heldVersion,
    isWanted,
    SourceKind,
    type Candidate,
    type Context,
    type Distribution,
    type Fetch,
    type TargetFetch,
} from "./state.js";

const deadlineBySource = {
    [SourceKind.Peer]: fetchDeadlineMs,
    [SourceKind.Store]: fetchDeadlineMs,
    [SourceKind.Idle]: fetchRetryMs,
    // Its time of sending is the end of the wait.
    [SourceKind.Waiting]: 0,
} satisfies Record<SourceKind, number>;

function isDue(fetch: Fetch | undefined, now: number): boolean {
    return fetch === undefined || now >= fetch.sentAt + deadlineBySource[fetch.source];
}

/**
 * Chooses where to ask next: a peer known to hold the version, preferably `first` and then one in the same
 * region, then the object store, and after that nothing until the retry delay has passed.
 */
function nextFetch(
    state: Distribution,
    context: Context,
    version: number,
    before: Fetch | undefined,
    first?: string,
): Fetch {
    const tried =
        before === undefined || before.source === SourceKind.Idle ? new Set<string>() : before.tried;
    const rank = (host: string) =>
        host === first ? 0 : state.links.get(host)?.region === state.region ? 1 : 2;
    const open = [...state.links.keys()].filter(
        host => !tried.has(host) && (state.known.get(host) ?? 0) >= version,
    );
    const best = Math.min(...open.map(rank));
    const peers = open.filter(host => rank(host) === best);
    const host = peers[Math.floor(context.random() * peers.length)];
    if (host !== undefined) {
        return { source: SourceKind.Peer, host, sentAt: context.now, tried: new Set([...tried, host]) };
    }
    const source = before?.source === SourceKind.Store ? SourceKind.Idle : SourceKind.Store;
    return { source, sentAt: context.now, tried };
}

/** Asks for the newest version when it is wanted and no request for it is in flight. */
export function fetchTarget(state: Distribution, context: Context): Distribution {
    const { target, targetFetch, candidate } = state;
    const covered = (candidate?.version ?? 0) >= (target?.version ?? 0);
    if (target === undefined || covered || !isWanted(state, target)) {
        return targetFetch === undefined ? state : { ...state, targetFetch: undefined };
    }
    const endsWait =
        targetFetch?.source === SourceKind.Waiting &&
        [...state.known.values()].some(version => version >= target.version);
    if (!endsWait && !isDue(targetFetch, context.now)) {
        return state;
    }
    const fetch = waitForPeers(
        state,
        context,
        targetFetch,
        nextFetch(state, context, target.version, targetFetch),
    );
    sendTargetFetch[fetch.source](state, context, { ...fetch, target });
    return { ...state, targetFetch: { ...fetch, target } };
}

/**
 * A host without a version gives its peers a random time before it reads the object store, so that hosts that
 * restart together let a few of them read and get the version from those.
 */
function waitForPeers(state: Distribution, context: Context, before: Fetch | undefined, fetch: Fetch): Fetch {
    const isFirst = before === undefined && state.held === undefined;
    const waitMs = Math.floor(context.random() * state.patienceMs);
    return isFirst && fetch.source === SourceKind.Store && waitMs > 0
        ? { source: SourceKind.Waiting, sentAt: context.now + waitMs, tried: fetch.tried }
        : fetch;
}

const sendTargetFetch = {
    [SourceKind.Peer]: (state: Distribution, context: Context, fetch: TargetFetch) => {
        const message = { kind: MessageKind.Pull, held: heldVersion(state) };
        context.effects.messages.push({ to: { host: fetch.host as string }, message });
    },
    [SourceKind.Store]: (_state: Distribution, context: Context, fetch: TargetFetch) => {
        context.effects.reads.push(fetch.target.manifestHash);
    },
    [SourceKind.Idle]: () => {},
    [SourceKind.Waiting]: () => {},
} satisfies Record<SourceKind, (state: Distribution, context: Context, fetch: TargetFetch) => void>;

/** Lets the next settling ask elsewhere at once. */
export function failTargetFetch(state: Distribution): Distribution {
    const { targetFetch } = state;
    const waits = targetFetch?.source === SourceKind.Idle || targetFetch?.source === SourceKind.Waiting;
    return targetFetch === undefined || waits
        ? state
        : { ...state, targetFetch: { ...targetFetch, sentAt: -Infinity } };
}

/** Hashes of the parts that the candidate lacks, those to forward last. */
export function missingParts(state: Distribution, candidate: Candidate): readonly string[] {
    const needed = neededNames(candidate.manifest, state.interest).map(
        name => candidate.manifest.entries[name]?.hash as string,
    );
    return [...new Set([...needed, ...candidate.forwarded])].filter(hash => !candidate.parts.has(hash));
}

/** Asks for each missing part of the candidate, at most one request for a part at a time. */
export function fetchParts(state: Distribution, context: Context): Distribution {
    const { candidate } = state;
    if (candidate === undefined) {
        return state.partFetches.size === 0 ? state : { ...state, partFetches: new Map() };
    }
    const missing = missingParts(state, candidate);
    const fetches = new Map<string, Fetch>();
    const byHost = new Map<string, string[]>();
    const maxReads = state.held === undefined ? maxInitialPartReads : maxPartsInFlight;
    let reads = countReads(state, missing, context.now);
    for (const hash of missing.slice(0, maxPartsInFlight)) {
        const before = state.partFetches.get(hash);
        if (before !== undefined && !isDue(before, context.now)) {
            fetches.set(hash, before);
            continue;
        }
        const fetch = nextFetch(state, context, candidate.version, before, candidate.from);
        if (fetch.source === SourceKind.Store && reads >= maxReads) {
            if (before !== undefined) {
                fetches.set(hash, before);
            }
            continue;
        }
        fetches.set(hash, fetch);
        if (fetch.source === SourceKind.Peer) {
            const host = fetch.host as string;
            byHost.set(host, [...(byHost.get(host) ?? []), hash]);
        } else if (fetch.source === SourceKind.Store) {
            context.effects.reads.push(hash);
            reads += 1;
        }
    }
    for (const [host, hashes] of byHost) {
        context.effects.messages.push({
            to: { host },
            message: { kind: MessageKind.PartRequest, hashes },
        });
    }
    return { ...state, partFetches: fetches };
}

/** Parts whose read from the object store is in flight. */
function countReads({ partFetches }: Distribution, hashes: readonly string[], now: number): number {
    return hashes.filter(hash => {
        const fetch = partFetches.get(hash);
        return fetch?.source === SourceKind.Store && !isDue(fetch, now);
    }).length;
}

/** Lets the next settling ask elsewhere for a part that the source did not have. */
export function failPartFetch(state: Distribution, hash: string, host: string | undefined): Distribution {
    const fetch = state.partFetches.get(hash);
    if (fetch === undefined || fetch.source === SourceKind.Idle || fetch.host !== host) {
        return state;
    }
    const partFetches = new Map(state.partFetches).set(hash, { ...fetch, sentAt: -Infinity });
    const candidate = state.candidate;
    // A part that nobody else needs from this host is asked for once in the object store.
    const gaveUp = host === undefined && candidate !== undefined && candidate.forwarded.has(hash);
    if (!gaveUp) {
        return { ...state, partFetches };
    }
    const forwarded = new Set([...candidate.forwarded].filter(other => other !== hash));
    return { ...state, partFetches, candidate: { ...candidate, forwarded } };
}
