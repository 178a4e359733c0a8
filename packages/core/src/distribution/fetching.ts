import { fetchDeadlineMs, fetchRetryMs, maxInitialPartReads, maxPartsInFlight } from "../constants.js";
import { MessageKind } from "../messages/peerMessage.js";
import { cachedNeededNames } from "./neededNames.js";
import {
    canReplaceHeld,
    heldVersion,
    SourceKind,
    type Candidate,
    type Context,
    type Distribution,
    type Fetch,
    type TargetFetch,
} from "./state.js";

const timeoutMsBySource = {
    [SourceKind.Peer]: fetchDeadlineMs,
    [SourceKind.Store]: fetchDeadlineMs,
    [SourceKind.Backoff]: fetchRetryMs,
    // `sentAt` already is the end of the wait.
    [SourceKind.PeerWait]: 0,
} satisfies Record<SourceKind, number>;

function isDue(fetch: Fetch | undefined, now: number): boolean {
    return fetch === undefined || now >= fetch.sentAt + timeoutMsBySource[fetch.source];
}

/**
 * Chooses the next source: an untried peer known to hold the version (`preferredHost` first, then the same region),
 * then the object store, and after that none until the retry delay has passed.
 */
function chooseFetch(
    state: Distribution,
    context: Context,
    version: number,
    previous: Fetch | undefined,
    preferredHost?: string,
): Fetch {
    const triedHosts =
        previous === undefined || previous.source === SourceKind.Backoff
            ? new Set<string>()
            : previous.triedHosts;
    const rank = (host: string) =>
        host === preferredHost ? 0 : state.links.get(host)?.region === state.region ? 1 : 2;
    const eligibleHosts = [...state.links.keys()].filter(
        host => !triedHosts.has(host) && (state.peerVersions.get(host) ?? 0) >= version,
    );
    const bestRank = Math.min(...eligibleHosts.map(rank));
    const peers = eligibleHosts.filter(host => rank(host) === bestRank);
    const host = peers[Math.floor(context.random() * peers.length)];
    if (host !== undefined) {
        return {
            source: SourceKind.Peer,
            host,
            sentAt: context.now,
            triedHosts: new Set([...triedHosts, host]),
        };
    }
    const source = previous?.source === SourceKind.Store ? SourceKind.Backoff : SourceKind.Store;
    return { source, sentAt: context.now, triedHosts };
}

/** Requests the target version if it can replace the held one and no request for it is in flight. */
export function fetchTarget(state: Distribution, context: Context): Distribution {
    const { target, targetFetch, candidate } = state;
    const isCovered = (candidate?.version ?? 0) >= (target?.version ?? 0);
    if (target === undefined || isCovered || !canReplaceHeld(state, target)) {
        return targetFetch === undefined ? state : { ...state, targetFetch: undefined };
    }
    const endsPeerWait =
        targetFetch?.source === SourceKind.PeerWait &&
        [...state.peerVersions.values()].some(version => version >= target.version);
    if (!endsPeerWait && !isDue(targetFetch, context.now)) {
        return state;
    }
    const fetch = waitForPeers(
        state,
        context,
        targetFetch,
        chooseFetch(state, context, target.version, targetFetch),
    );
    sendTargetFetch[fetch.source](state, context, { ...fetch, target });
    return { ...state, targetFetch: { ...fetch, target } };
}

/**
 * Delays the first object store read of a host without a version by a random time. When many hosts restart
 * together, a few of them read the object store and the others get the version from these.
 */
function waitForPeers(
    state: Distribution,
    context: Context,
    previous: Fetch | undefined,
    fetch: Fetch,
): Fetch {
    const isFirst = previous === undefined && state.held === undefined;
    const waitMs = Math.floor(context.random() * state.patienceMs);
    return isFirst && fetch.source === SourceKind.Store && waitMs > 0
        ? { source: SourceKind.PeerWait, sentAt: context.now + waitMs, triedHosts: fetch.triedHosts }
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
    [SourceKind.Backoff]: () => {},
    [SourceKind.PeerWait]: () => {},
} satisfies Record<SourceKind, (state: Distribution, context: Context, fetch: TargetFetch) => void>;

/** Makes the target request due, so that the next reconciliation tries another source immediately. */
export function failTargetFetch(state: Distribution): Distribution {
    const { targetFetch } = state;
    const isWaiting =
        targetFetch?.source === SourceKind.Backoff || targetFetch?.source === SourceKind.PeerWait;
    return targetFetch === undefined || isWaiting
        ? state
        : { ...state, targetFetch: { ...targetFetch, sentAt: -Infinity } };
}

/** Hashes of the parts that the candidate is missing; parts that are only forwarded come last. */
export function missingParts(state: Distribution, candidate: Candidate): readonly string[] {
    const needed = cachedNeededNames(candidate.manifest, state.interest).map(
        name => candidate.manifest.entries[name]?.hash as string,
    );
    return [...new Set([...needed, ...candidate.forwarded])].filter(hash => !candidate.parts.has(hash));
}

/** Requests the missing parts of the candidate, with at most one request in flight for each part. */
export function fetchParts(state: Distribution, context: Context): Distribution {
    const { candidate } = state;
    if (candidate === undefined) {
        return state.partFetches.size === 0 ? state : { ...state, partFetches: new Map() };
    }
    const missing = missingParts(state, candidate);
    const fetches = new Map<string, Fetch>();
    const hashesByHost = new Map<string, string[]>();
    const maxReads = state.held === undefined ? maxInitialPartReads : maxPartsInFlight;
    let reads = countReads(state, missing, context.now);
    for (const hash of missing.slice(0, maxPartsInFlight)) {
        const previous = state.partFetches.get(hash);
        if (previous !== undefined && !isDue(previous, context.now)) {
            fetches.set(hash, previous);
            continue;
        }
        const fetch = chooseFetch(state, context, candidate.version, previous, candidate.from);
        if (fetch.source === SourceKind.Store && reads >= maxReads) {
            if (previous !== undefined) {
                fetches.set(hash, previous);
            }
            continue;
        }
        fetches.set(hash, fetch);
        if (fetch.source === SourceKind.Peer) {
            const host = fetch.host as string;
            hashesByHost.set(host, [...(hashesByHost.get(host) ?? []), hash]);
        } else if (fetch.source === SourceKind.Store) {
            context.effects.reads.push(hash);
            reads += 1;
        }
    }
    for (const [host, hashes] of hashesByHost) {
        context.effects.messages.push({
            to: { host },
            message: { kind: MessageKind.PartRequest, hashes },
        });
    }
    return { ...state, partFetches: fetches };
}

/** Number of parts whose object store read is in flight. */
function countReads({ partFetches }: Distribution, hashes: readonly string[], now: number): number {
    return hashes.filter(hash => {
        const fetch = partFetches.get(hash);
        return fetch?.source === SourceKind.Store && !isDue(fetch, now);
    }).length;
}

/** Makes the request for a part due after its source lacked it, so that the next reconciliation tries another one. */
export function failPartFetch(state: Distribution, hash: string, host: string | undefined): Distribution {
    const fetch = state.partFetches.get(hash);
    if (fetch === undefined || fetch.source === SourceKind.Backoff || fetch.host !== host) {
        return state;
    }
    const partFetches = new Map(state.partFetches).set(hash, { ...fetch, sentAt: -Infinity });
    const candidate = state.candidate;
    // A part that is only forwarded is given up after one failed object store read.
    const stopsForwarding = host === undefined && candidate !== undefined && candidate.forwarded.has(hash);
    if (!stopsForwarding) {
        return { ...state, partFetches };
    }
    const forwarded = new Set([...candidate.forwarded].filter(other => other !== hash));
    return { ...state, partFetches, candidate: { ...candidate, forwarded } };
}
