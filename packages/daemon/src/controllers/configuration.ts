import {
    assembleConfiguration,
    contentHash,
    neededResources,
    PlatformAnswer,
    PlatformOperation,
    type Head,
    type Manifest,
    type PlatformReply,
} from "@tanagertray/core";
import type { Board } from "../board.js";
import type { Closeable } from "../closeable.js";

interface Candidate {
    readonly head: Head;
    readonly manifest?: Manifest;
    readonly parts: Map<string, Uint8Array>;
    readonly waiting: Set<string>;
}

/** Fetches the version named by the head row and puts it in force when it is whole. */
export function createConfigurationController(board: Board): Closeable {
    const configuration = board.claimValue("configuration");
    const reads = board.claimFeed("objectReads");
    let candidate: Candidate | undefined;

    function considerHead(): void {
        const head = board.read("platformState").head;
        const held = board.read("configuration").held?.manifest.version ?? 0;
        if (head === undefined || head.version <= held || head.version === candidate?.head.version) {
            return;
        }
        candidate = { head, parts: new Map(), waiting: new Set([head.manifestHash]) };
        readObject(head.manifestHash);
    }

    function readObject(hash: string): void {
        reads.append({ id: `object-${hash}`, request: { operation: PlatformOperation.ReadObject, hash } });
    }

    function takeReply(reply: PlatformReply): void {
        const hash = reply.id.startsWith("object-") ? reply.id.slice("object-".length) : undefined;
        if (hash === undefined || candidate === undefined || !candidate.waiting.delete(hash)) {
            return;
        }
        if (reply.result.answer !== PlatformAnswer.Object || contentHash(reply.result.bytes) !== hash) {
            candidate = undefined;
            return;
        }
        if (hash === candidate.head.manifestHash) {
            takeManifest(JSON.parse(Buffer.from(reply.result.bytes).toString("utf8")) as Manifest);
        } else {
            candidate.parts.set(hash, reply.result.bytes);
        }
        applyWhenWhole();
    }

    function takeManifest(manifest: Manifest): void {
        const current = candidate as Candidate;
        candidate = { ...current, manifest };
        for (const name of neededResources(manifest, interest())) {
            const hash = manifest.entries[name]?.hash as string;
            current.waiting.add(hash);
            readObject(hash);
        }
    }

    function interest() {
        const services = [...board.read("backendServers").values()].map(server => server.service);
        return { services, outsideCallers: board.read("settings").outsideCallers };
    }

    function applyWhenWhole(): void {
        if (candidate?.manifest === undefined || candidate.waiting.size > 0) {
            return;
        }
        const { manifest, parts, head } = candidate;
        const needed = neededResources(manifest, interest());
        assembleConfiguration({ manifest, manifestHash: head.manifestHash, parts, needed })
            .ifRight(held => configuration.write({ held }))
            .ifLeft(reason =>
                configuration.update(state => ({
                    ...state,
                    rejected: { version: manifest.version, reason: reason.message },
                })),
            );
        candidate = undefined;
    }

    const subscriptions = [
        board.observe(["platformState"], considerHead),
        board.follow("platformReplies", takeReply),
    ];
    return { close: () => subscriptions.forEach(subscription => subscription.close()) };
}
