import { Then } from "@cucumber/cucumber";
import { canonicalBytes, canonicalJson, contentHash, manifestHashOf, type Manifest } from "@tanagertray/core";
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

/** The definition: JSON whose objects list their keys by UTF-16 code unit, but integers first, as JavaScript does. */
function definedJson(value: unknown): string {
    return JSON.stringify(value, (_key, item: unknown) =>
        typeof item === "object" && item !== null && !Array.isArray(item)
            ? Object.fromEntries(Object.entries(item).sort(([a], [b]) => (a < b ? -1 : 1)))
            : item,
    );
}

Then("random values have the canonical JSON that is defined", function () {
    const key = fc.oneof(
        name,
        fc.constantFrom("__proto__", "a", "B", "ä", "10", "9", "\ud83d\ude00", "\uffff"),
    );
    const value = fc.anything({ key, maxDepth: 4, withNullPrototype: false });
    fc.assert(
        fc.property(value, given => canonicalJson(given) === definedJson(given)),
        { seed: 12, numRuns: 2_000 },
    );
});
