import { Then, When, type DataTable } from "@cucumber/cucumber";
import { MessageKind, ProblemCode } from "@tanagertray/core";
import { decodeMessage, encodeFrame } from "@tanagertray/daemon/adapters/peers/codec";
import fc from "fast-check";
import assert from "node:assert/strict";
import { sampleMessages } from "./sampleMessages.js";

interface World {
    decoded: ReturnType<typeof decodeMessage>[];
}

const seed = 20_240_612;

When("{int} mutated peer messages are decoded with a fixed seed", function (this: World, count: number) {
    this.decoded = [];
    const frames = Object.values(sampleMessages).map(message => [...encodeFrame(message)]);
    const byteChanges = fc.array(fc.tuple(fc.nat(), fc.integer({ min: 0, max: 255 })), { maxLength: 4 });
    const mutatedFrames = fc
        .tuple(fc.constantFrom(...frames), byteChanges, fc.nat({ max: 3 }))
        .map(([frame, changes, cut]) => {
            const copy = frame.slice(0, frame.length - cut);
            changes.forEach(([at, byte]) => (copy[at % copy.length] = byte));
            return Uint8Array.from(copy);
        });
    const input = fc.oneof(mutatedFrames, fc.uint8Array({ maxLength: 64 }));
    fc.assert(
        fc.property(input, frame => {
            this.decoded.push(decodeMessage(frame));
        }),
        { seed, numRuns: count },
    );
});

Then(
    "each decoding returned a problem or a message that survives encoding and decoding",
    function (this: World) {
        const problems = this.decoded.filter(outcome => outcome.isLeft());
        assert.ok(problems.length > 0 && problems.length < this.decoded.length);
        for (const outcome of this.decoded) {
            outcome.caseOf({
                Left: fault => assert.equal(fault.code, ProblemCode.MalformedMessage),
                Right: message => assert.deepEqual(decodeMessage(encodeFrame(message)).extract(), message),
            });
        }
    },
);

Then("every kind of peer message decodes to the encoded message", function () {
    for (const message of Object.values(sampleMessages)) {
        const decoded = decodeMessage(encodeFrame(message)).extract();
        // Byte strings decode to a subclass of Uint8Array.
        assert.deepEqual(JSON.stringify(toComparable(decoded)), JSON.stringify(toComparable(message)));
    }
});

function toComparable(value: unknown): unknown {
    if (value instanceof Uint8Array) {
        return [...value];
    }
    return typeof value === "object" && value !== null
        ? Object.fromEntries(Object.entries(value).map(([key, item]) => [key, toComparable(item)]))
        : value;
}

const malformedFrames: Record<string, () => Uint8Array> = {
    "unknown kind": () => encodeFrame({ kind: "gossip" }),
    "inherited key as kind": () => encodeFrame({ kind: "constructor" }),
    "unknown field": () => encodeFrame({ ...sampleMessages.pull, extra: 1 }),
    "missing field": () => encodeFrame({ kind: MessageKind.Pull }),
    "negative version": () => encodeFrame({ ...sampleMessages.pull, held: -1 }),
    "string for a number": () => encodeFrame({ ...sampleMessages.pull, held: "1" }),
    "too many buckets": () => encodeFrame({ ...sampleMessages.digest, buckets: new Array(65).fill(0) }),
    "name too long": () => encodeFrame({ ...sampleMessages.fateRequest, callId: "c".repeat(256) }),
    "string for bytes": () =>
        encodeFrame({ ...sampleMessages.parts, parts: [{ hash: "abc", bytes: "abc" }] }),
    "deep nesting": () => new Uint8Array(1_000_000).fill(0x91),
    "huge declared length": () => Uint8Array.from([0xdd, 0xff, 0xff, 0xff, 0xff, 0x01]),
    "truncated frame": () => encodeFrame(sampleMessages.snapshot).subarray(0, 20),
};

Then("each of these peer messages is refused as malformed:", function (table: DataTable) {
    for (const { fault = "" } of table.hashes()) {
        const frame = malformedFrames[fault]?.();
        assert.ok(frame, fault);
        const outcome = decodeMessage(frame);
        const code = outcome.swap().map(problem => problem.code);
        assert.equal(code.extract(), ProblemCode.MalformedMessage, fault);
    }
});
