import { After, Given, Then, When } from "@cucumber/cucumber";
import { startPlatform, type Platform } from "@tanagertray/standin";
import assert from "node:assert/strict";

interface World {
    standinPlatform?: Platform;
    statuses: number[];
    tag: string;
    sendError?: unknown;
}

const rowPath = "/v1/rows/head";

function sendRowRequest(world: World, method: string, headers: Record<string, string> = {}, row?: unknown) {
    return fetch(`${world.standinPlatform?.url}${rowPath}`, {
        method,
        headers: { ...headers, connection: "close" },
        ...(row === undefined ? {} : { body: JSON.stringify(row) }),
    });
}

async function setFaults(world: World, faults: unknown): Promise<void> {
    const response = await fetch(`${world.standinPlatform?.url}/control`, {
        method: "PUT",
        body: JSON.stringify(faults),
    });
    assert.equal(response.status, 200);
}

After(async function (this: World) {
    await this.standinPlatform?.close();
});

Given("a platform stand-in with the stored row {string}", async function (this: World, _key: string) {
    this.standinPlatform = await startPlatform();
    this.statuses = [];
    const created = await sendRowRequest(this, "PUT", { "if-none-match": "*" }, { version: 1 });
    this.tag = created.headers.get("etag") ?? "";
    assert.equal(this.tag, '"1"');
});

Given("a platform stand-in that allows {int} reads in a second", async function (this: World, reads: number) {
    this.standinPlatform = await startPlatform({ faults: { readsPerSecond: reads }, now: () => 5_000 });
    this.statuses = [];
});

When("two writers replace the stored row with the same entity tag", async function (this: World) {
    for (const version of [2, 3]) {
        this.statuses.push((await sendRowRequest(this, "PUT", { "if-match": this.tag }, { version })).status);
    }
});

Then(
    "the platform stand-in answers {int} to the first and {int} to the second",
    function (this: World, first: number, second: number) {
        assert.deepEqual(this.statuses, [first, second]);
    },
);

Then("the platform stand-in holds the row of the first writer", async function (this: World) {
    assert.deepEqual(await (await sendRowRequest(this, "GET")).json(), { version: 2 });
});

When("a writer replaces the stored row without a condition", async function (this: World) {
    this.statuses.push((await sendRowRequest(this, "PUT", {}, { version: 2 })).status);
});

When(
    /^the stored row is requested by (\w+) with ([\w-]+) set to (.+)$/,
    async function (this: World, method: string, field: string, tags: string) {
        const row = method === "PUT" ? { version: 2 } : undefined;
        this.statuses.push((await sendRowRequest(this, method, { [field]: tags }, row)).status);
    },
);

Then("the platform stand-in answers {int}", function (this: World, status: number) {
    assert.deepEqual(this.statuses, [status]);
});

const lossFaults: Readonly<Record<string, string>> = { after: "loseAnswers", before: "loseRequests" };

When(
    /^the platform stand-in loses the next answer (after|before) the effect of a write$/,
    async function (this: World, beforeOrAfter: string) {
        await setFaults(this, { [lossFaults[beforeOrAfter] as string]: 1 });
        this.sendError = await sendRowRequest(this, "PUT", { "if-match": this.tag }, { version: 2 }).catch(
            error => error,
        );
    },
);

Then("the writer receives no answer", function (this: World) {
    assert.ok(this.sendError instanceof Error);
    assert.equal(this.standinPlatform?.counters().lost, 1);
});

Then(
    /^the write took (no )?effect in the platform stand-in$/,
    async function (this: World, no: string | null) {
        assert.deepEqual(await (await sendRowRequest(this, "GET")).json(), { version: no ? 1 : 2 });
    },
);

When("the stored row is replaced and reads are 1 write late", async function (this: World) {
    await sendRowRequest(this, "PUT", { "if-match": this.tag }, { version: 2 });
    await setFaults(this, { staleWrites: 1 });
});

Then("a read of the platform stand-in shows the earlier row", async function (this: World) {
    const response = await sendRowRequest(this, "GET");
    assert.deepEqual([response.headers.get("etag"), await response.json()], [this.tag, { version: 1 }]);
});

Then("a write with the earlier entity tag is answered {int}", async function (this: World, status: number) {
    assert.equal(
        (await sendRowRequest(this, "PUT", { "if-match": this.tag }, { version: 3 })).status,
        status,
    );
});

When(
    "the platform stand-in receives {int} reads within one second",
    async function (this: World, reads: number) {
        for (let i = 0; i < reads; i += 1) {
            this.statuses.push((await sendRowRequest(this, "GET")).status);
        }
    },
);

Then("{int} of the reads are answered {int}", function (this: World, count: number, status: number) {
    assert.equal(this.statuses.filter(actual => actual === status).length, count);
});

Then(
    "the platform stand-in counts {int} reads, {int} refused and a peak of {int} reads in a second",
    function (this: World, reads: number, refused: number, peak: number) {
        const counters = this.standinPlatform?.counters();
        assert.equal(counters?.reads, reads);
        assert.equal(counters?.refused, refused);
        assert.equal(counters?.peakReadsPerSecond, peak);
    },
);

When("the platform stand-in is switched to silent over HTTP", async function (this: World) {
    await setFaults(this, { silent: true });
});

Then(
    "a read of the platform stand-in has no answer within {int} ms",
    async function (this: World, ms: number) {
        const answer = fetch(`${this.standinPlatform?.url}${rowPath}`, { signal: AbortSignal.timeout(ms) });
        await assert.rejects(answer, { name: "TimeoutError" });
    },
);

Then("the platform stand-in answers again after the silence is switched off", async function (this: World) {
    await setFaults(this, { silent: false });
    assert.equal((await sendRowRequest(this, "GET")).status, 200);
});
