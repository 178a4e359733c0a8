import { Then } from "@cucumber/cucumber";
import { canonicalBytes, canonicalJson, contentHash, manifestHashOf, type Manifest } from "@tanagertray/core";
import fc from "fast-check";

const anyName = fc.oneof(
    fc.string({ unit: "binary", maxLength: 12 }),
    fc.nat().map(String),
    fc.constantFrom("route/a", "service/a", "constructor", "toString"),
);
const anyEntry = fc.record({
    hash: anyName,
    references: fc.array(anyName),
    neededBy: fc.array(anyName),
});
const anyEntries = fc.dictionary(anyName, anyEntry);

function hasCanonicalHash(manifest: Manifest): boolean {
    return manifestHashOf(manifest) === contentHash(canonicalBytes(manifest));
}

Then(
    "the hash of random manifests, and of manifests that share entries with them, is that of their canonical bytes",
    function () {
        fc.assert(
            fc.property(
                fc.nat(),
                anyEntries,
                anyEntries,
                fc.boolean(),
                (version, base, changed, extended) => {
                    const first = { version, entries: base, ...(extended ? { comment: "later" } : {}) };
                    const second = { version: version + 1, entries: { ...base, ...changed } };
                    return hasCanonicalHash(first) && hasCanonicalHash(second) && hasCanonicalHash(first);
                },
            ),
            { seed: 11, numRuns: 500 },
        );
    },
);

/** The definition: objects list their keys in order of UTF-16 code units, but integer keys first, as in JavaScript. */
function referenceJson(value: unknown): string {
    return JSON.stringify(value, (_key, item: unknown) =>
        typeof item === "object" && item !== null && !Array.isArray(item)
            ? Object.fromEntries(Object.entries(item).sort(([a], [b]) => (a < b ? -1 : 1)))
            : item,
    );
}

Then("the canonical JSON of random values follows its definition", function () {
    const key = fc.oneof(
        anyName,
        fc.constantFrom("__proto__", "a", "B", "ä", "10", "9", "\ud83d\ude00", "\uffff"),
    );
    const value = fc.anything({ key, maxDepth: 4, withNullPrototype: false });
    fc.assert(
        fc.property(value, given => canonicalJson(given) === referenceJson(given)),
        { seed: 12, numRuns: 2_000 },
    );
});
