import { callProtections } from "./callProtections.js";

/** A protection and the edit that removes it. `search` must occur exactly once in the file. */
export interface Protection {
    readonly name: string;
    readonly file: string;
    readonly search: string;
    readonly replacement: string;
    /**
     * Tags of the scenarios to run, if only some of them can detect the removal.
     * @default every scenario
     */
    readonly tags?: string;
}

const core = "packages/core/src";

/** Protections of the configuration. To save time, only the scenarios of its state machines run. */
const configurationProtections: readonly Protection[] = [
    {
        name: "conditional write: expected tag of the head row",
        file: `${core}/revision/acceptance.ts`,
        search: "? { head, expectedTag: result.tag } : { head }",
        replacement: "? { head } : { head }",
    },
    {
        name: "acceptance only on the base version of the revision",
        file: `${core}/revision/acceptance.ts`,
        search: "if (version > revision.baseVersion) {\n        return finished(Left(conflictProblem",
        replacement: "if (version < 0) {\n        return finished(Left(conflictProblem",
    },
    {
        name: "stale head row ignored by an acceptance",
        file: `${core}/revision/acceptance.ts`,
        search: "if (version < revision.baseVersion) {",
        replacement: "if (version < 0) {",
    },
    {
        name: "acceptance: read-back by write id",
        file: `${core}/revision/acceptance.ts`,
        search: "change.writeId === state.request.writeId",
        replacement: 'change.writeId === ""',
    },
    {
        name: "acceptance: a refusal after a lost write decides nothing",
        file: `${core}/revision/acceptance.ts`,
        search: "result.answer === PlatformAnswer.Refused && !state.writeOutcomeUnknown",
        replacement: "result.answer === PlatformAnswer.Refused && state.readBackAttempts >= 0",
    },
    {
        name: "submission: read-back by write id",
        file: `${core}/revision/submission.ts`,
        search: "(result.row as Revision).writeId === revision.writeId",
        replacement: '(result.row as Revision).writeId === ""',
    },
    {
        name: "submission: a refusal or conflict after a lost write decides nothing",
        file: `${core}/revision/submission.ts`,
        search: "    if (state.writeOutcomeUnknown) {",
        replacement: "    if (state.writeOutcomeUnknown && state.renumberings < 0) {",
    },
    {
        name: "version check: a held version is not replaced by a lower one",
        file: `${core}/distribution/state.ts`,
        search: "target.version > heldVersion(state) &&",
        replacement: "target.version !== heldVersion(state) &&",
    },
    {
        name: "bad manifest barred",
        file: `${core}/distribution/state.ts`,
        search: "!state.rejectedHashes.includes(target.manifestHash)",
        replacement: "state.rejectedHashes.length >= 0",
    },
    {
        name: "base check of an update",
        file: `${core}/distribution/candidate.ts`,
        search: "remaining[0]?.base !== base.version",
        replacement: "remaining.length === 0",
    },
    {
        name: "base check of a step",
        file: `${core}/configuration/delta.ts`,
        search: "step.base !== manifest.version || step.version <= step.base",
        replacement: "step.version <= step.base",
    },
    {
        name: "reference check of the manifest",
        file: `${core}/configuration/delta.ts`,
        search: "if (missing !== undefined) {",
        replacement: "if (missing !== undefined && manifest.version < 0) {",
    },
    {
        name: "reference check of the parts",
        file: `${core}/configuration/assemble.ts`,
        search: "if (dangling !== undefined) {",
        replacement: "if (dangling !== undefined && options.needed.length < 0) {",
    },
    {
        name: "hash check of a part from a peer",
        file: `${core}/distribution/candidate.ts`,
        search: "parts.filter(part => contentHash(part.bytes) === part.hash)",
        replacement: "parts.filter(part => part.hash.length > 0)",
    },
    {
        name: "hash check of a part when a version is assembled",
        file: `${core}/configuration/assemble.ts`,
        search: "if (contentHash(bytes) !== entry.hash) {",
        replacement: "if (contentHash(bytes) === undefined) {",
    },
    {
        name: "own high-water mark as floor",
        file: `${core}/joining/readiness.ts`,
        search: "? Math.max(facts.head ?? 0, joining.ownWatermark, joining.highestPeerVersion)\n        : joining.ownWatermark;",
        replacement: "? Math.max(facts.head ?? 0, joining.highestPeerVersion)\n        : 0;",
    },
    {
        name: "fence after a pause",
        file: `${core}/joining/readiness.ts`,
        search: "facts.pausedForMs <= longestPauseMs",
        replacement: "facts.pausedForMs > -longestPauseMs",
    },
    {
        name: "refused head is no floor",
        file: `${core}/joining/readiness.ts`,
        search: "head.history.find(change => !rejectedHashes.includes(change.manifestHash))",
        replacement: "head.history.find(change => rejectedHashes.length >= 0 && change.version > 0)",
    },
    {
        name: "bad version does not hide the good one before it",
        file: `${core}/distribution/advance.ts`,
        search: "return earlier === undefined ? state :",
        replacement: "return earlier === undefined || earlier.version > 0 ? state :",
    },
    {
        name: "stale head row ignored by the distribution",
        file: `${core}/distribution/advance.ts`,
        search: "const isNewer = head.version > (target?.version ?? 0);",
        replacement: "const isNewer = head.version !== (target?.version ?? 0);",
    },
    {
        name: "stale head row ignored by the platform client",
        file: "packages/daemon/src/adapters/platform/platformClient.ts",
        search: "if (head.version > (before.head?.version ?? 0)) {",
        replacement: "if (head.version !== before.head?.version) {",
    },
    {
        name: "stale read of the head row confirms nothing",
        file: "packages/daemon/src/adapters/platform/platformClient.ts",
        search: "isStale ? {} : { headReadAt: readTime(), headAskedAt: askedAt }",
        replacement: "{ headReadAt: readTime(), headAskedAt: askedAt }",
    },
    {
        name: "record order by incarnation",
        file: `${core}/membership/order.ts`,
        search: "        a.incarnation - b.incarnation ||\n",
        replacement: "",
    },
    {
        name: "record order by counter",
        file: `${core}/membership/order.ts`,
        search: "        a.counter - b.counter ||\n",
        replacement: "",
    },
].map(protection => ({ ...protection, tags: "@configuration" }));

export const protections: readonly Protection[] = [...configurationProtections, ...callProtections];
