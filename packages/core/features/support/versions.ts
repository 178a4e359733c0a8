import {
    assembleConfiguration,
    canonicalBytes,
    contentHash,
    createDistribution,
    generateConfiguration,
    manifestHashOf,
    neededResourceNames,
    resolveAnswers,
    type Answers,
    type Distribution,
    type Interest,
    type Link,
    type Manifest,
    type Part,
} from "@tanagertray/core";
import assert from "node:assert/strict";

export interface Version {
    readonly manifest: Manifest;
    readonly hash: string;
    readonly parts: readonly Part[];
}

/** Answers whose services differ in every version; every third version also changes the set of callers. */
export function makeAnswers(version: number): Answers {
    const operations = [{ name: "read", method: "GET", path: "/**", repeatable: true }];
    const services = Object.fromEntries(
        ["s0", "s1", "s2"].map((name, i) => [
            name,
            { slots: 10 + (version % (i + 2)), connections: 100 + version, operations },
        ]),
    );
    const callers = {
        [`crews-${Math.floor(version / 3)}`]: { mayCall: ["s0", "s1"] },
        ledger: { service: "s0", mayCall: ["s2"] },
    };
    return { deployment: "test", services, callers };
}

export function makeVersion(version: number): Version {
    const { manifest, parts } = generateConfiguration(resolveAnswers(makeAnswers(version)), { version });
    return {
        manifest,
        hash: manifestHashOf(manifest),
        parts: [...parts].map(([hash, bytes]) => ({ hash, bytes })),
    };
}

/**
 * A version whose routes refer to a missing resource, and its objects. If `declared`, the manifest lists the reference
 * as well; otherwise it can be detected only in the parts.
 */
export function makeDanglingVersion(version: number, options: { declared: boolean }) {
    const good = makeVersion(version);
    const missing = "service/none";
    const routes = Object.entries(good.manifest.entries)
        .filter(([name]) => name.startsWith("route/"))
        .map(([name, before]) => {
            const content = JSON.parse(Buffer.from(partBytes(good, name)).toString("utf8")) as object;
            const bytes = canonicalBytes({ ...content, service: missing });
            const references = options.declared ? [missing] : before.references;
            return { name, bytes, entry: { ...before, references, hash: contentHash(bytes) } };
        });
    const entries = Object.fromEntries(routes.map(({ name, entry }) => [name, entry]));
    const manifest = { version, entries: { ...good.manifest.entries, ...entries } };
    const hash = manifestHashOf(manifest);
    const changed = routes.map(({ bytes, entry }) => ({ hash: entry.hash, bytes }));
    return {
        manifest,
        hash,
        objects: [...good.parts, ...changed, { hash, bytes: canonicalBytes(manifest) }],
    };
}

export function partBytes(version: Version, name: string): Uint8Array {
    const hash = version.manifest.entries[name]?.hash;
    const part = version.parts.find(candidate => candidate.hash === hash);
    assert.ok(part !== undefined, name);
    return part.bytes;
}

/** A host that already holds the given version. */
export function createHostHolding(version: Version, interest: Interest): Distribution {
    const { manifest, hash } = version;
    const parts = new Map(version.parts.map(part => [part.hash, part.bytes]));
    const needed = neededResourceNames(manifest, interest);
    const held = assembleConfiguration({ manifest, manifestHash: hash, parts, needed }).unsafeCoerce();
    return createDistribution({ spread: "eager", region: "r1", interest, held });
}

export function linksTo(hosts: readonly string[], region = "r1"): ReadonlyMap<string, Link> {
    return new Map(hosts.map(host => [host, { host, region }]));
}
