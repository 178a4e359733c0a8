import { Then, When } from "@cucumber/cucumber";
import { canonicalBytes, MessageKind } from "@tanagertray/core";
import assert from "node:assert/strict";
import type { Version } from "../support/versions.js";
import { receive, replacePart, route, updateOf, type World } from "./distribution.js";

/** Version 2 whose route has so many operations that it is about as large as is said. */
function largeVersion(kilobytes: number): Version {
    const { operations, ...others } = route() as { operations: readonly object[] };
    const padding = "x".repeat(900);
    const more = Array.from({ length: kilobytes }, (_, at) => ({
        ...operations[0],
        name: `read${at}`,
        path: `/${padding}/${at}`,
    }));
    return replacePart(canonicalBytes({ ...others, operations: [...operations, ...more] }));
}

When(
    "a neighbour on version 1 looks on while another sends it version 2 with {int} kB of new parts",
    function (this: World, kilobytes: number) {
        const { hash: manifestHash } = this.one;
        receive(this, "b", { kind: MessageKind.Heartbeat, version: 1, manifestHash });
        this.effects = [];
        receive(this, "a", updateOf(this.one, largeVersion(kilobytes)));
        assert.equal(this.host.held?.manifest.version, 2);
    },
);

const kindsBySending = { pushed: MessageKind.Update, announced: MessageKind.Announce } as const;

Then(
    /^the version is (pushed|announced) to the neighbour that looks on, and sent when that one pulls$/,
    function (this: World, sending: keyof typeof kindsBySending) {
        const sent = () =>
            this.effects
                .flatMap(({ messages }) => messages)
                .filter(({ to }) => "host" in to && to.host === "b")
                .map(({ message }) => message.kind);
        assert.deepEqual(sent(), [kindsBySending[sending]]);
        this.effects = [];
        receive(this, "b", { kind: MessageKind.Pull, held: 1 });
        assert.deepEqual(sent(), [MessageKind.Update]);
    },
);
