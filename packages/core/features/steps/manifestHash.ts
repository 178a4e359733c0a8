import { Then } from "@cucumber/cucumber";
import { canonicalBytes, contentHash, manifestHashOf, type Manifest } from "@tanagertray/core";
import fc from "fast-check";

const name = fc.oneof(
    fc.string({ unit: "binary", maxLength: 12 }),
    fc.nat().map(String),
    fc.constantFrom("route/a", "service/a", "constructor", "toString"),
);
const entry = fc.record({ hash: name, references: fc.array(name), neededBy: fc.array(name) });
const entries = fc.dictionary(name, entry);

function hashesAlike(manifest: Manifest): boolean {
    return manifestHashOf(manifest) === contentHash(canonicalBytes(manifest));
}

Then(
    "random manifests, and manifests that share entries with them, hash to their canonical bytes",
    function () {
        fc.assert(
            fc.property(fc.nat(), entries, entries, fc.boolean(), (version, base, changed, extended) => {
                const first = { version, entries: base, ...(extended ? { comment: "later" } : {}) };
                const second = { version: version + 1, entries: { ...base, ...changed } };
                return hashesAlike(first) && hashesAlike(second) && hashesAlike(first);
            }),
            { seed: 11, numRuns: 500 },
        );
    },
);
