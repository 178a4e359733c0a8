import { After, Given, Then, When } from "@cucumber/cucumber";
import {
    compareLedgers,
    startBackendServer,
    startLoadGenerator,
    type CallEntry,
    type CallOutcome,
    type CallPlan,
    type LedgerComparison,
    type RunEntry,
    type StandInBackendServer,
} from "@tanagertray/standin";
import assert from "node:assert/strict";

interface World {
    call: CallEntry;
    runs: RunEntry[];
    comparison: LedgerComparison;
    standinBackend?: StandInBackendServer;
    refusals: (string | null)[];
}

After(async function (this: World) {
    await this.standinBackend?.close();
});

Given(
    /^a ledger comparison of a (non-repeatable|repeatable) call with outcome (\w+)$/,
    function (this: World, kind: string, outcome: string) {
        this.call = {
            id: "c1",
            service: "orders",
            operation: "place",
            repeatable: kind === "repeatable",
            bodyHash: "b1",
            ...(outcome === "none" ? {} : { outcome: outcome as CallOutcome }),
        };
    },
);

Given(
    /^the compared call (received|missed) its own answer and has (\d+) runs that (finished|cancelled)$/,
    function (this: World, answer: string, runs: string, end: string) {
        this.call = { ...this.call, ownAnswer: answer === "received" };
        const run = { id: "c1", operation: "POST /orders", bodyHash: "b1", started: 1, [end]: 2 };
        this.runs = Array.from({ length: Number(runs) }, () => run);
    },
);

Given("the run of the compared call hashed another body", function (this: World) {
    this.runs = this.runs.map(run => ({ ...run, bodyHash: "b2" }));
});

When("the call ledger is compared with the run ledger", function (this: World) {
    // Each run is in the ledger of another backend server, because a call that runs twice usually runs on two of them.
    const ledgers = this.runs.map((run, index) => ({
        backendServer: `s${index}`,
        service: "orders",
        runs: [run],
        dropped: 0,
    }));
    this.comparison = compareLedgers([{ caller: "crews", calls: [this.call] }], ledgers);
});

Then("the ledger comparison finds exactly {string}", function (this: World, found: string) {
    const expected = Object.fromEntries(found.split(", ").map(name => [name, 1]));
    const nonZero = Object.entries(this.comparison).filter(([, count]) => count !== 0);
    assert.deepEqual(Object.fromEntries(nonZero), { calls: 1, ...expected });
});

Given(
    "a backend server stand-in with {int} slots that loses {int} answers",
    async function (this: World, slots: number, loseAnswers: number) {
        this.standinBackend = await startBackendServer({
            id: "s1",
            service: "orders",
            slots,
            faults: { loseAnswers, workMs: 1 },
        });
    },
);

When(
    "a load of {int} calls with uploads and orders is sent to the backend server stand-in",
    async function (this: World, maxCalls: number) {
        const backend = this.standinBackend as StandInBackendServer;
        const shared = { service: "orders", caller: "crews", daemons: [backend.url] };
        const plans: CallPlan[] = [
            { ...shared, operation: "check", method: "GET", path: "/check", repeatable: true },
            { ...shared, operation: "place", method: "POST", path: "/", repeatable: false, bodyBytes: 300 },
            {
                ...shared,
                operation: "upload",
                method: "PUT",
                path: "/u",
                repeatable: true,
                bodyBytes: 200_001,
            },
        ];
        const load = startLoadGenerator({ name: "crews", plans, concurrency: 4, maxCalls, maxMs: 5_000 });
        await load.finished;
        this.comparison = compareLedgers([load.ledger()], [backend.ledger()]);
    },
);

Then(
    "the ledgers show {int} completed, {int} cut and nothing lost, doubled, wrong or falsely refused",
    function (this: World, completed: number, cut: number) {
        assert.deepEqual(this.comparison, {
            calls: completed + cut,
            completed,
            cut,
            lost: 0,
            doubled: 0,
            refusedNotRun: 0,
            outcomeUnknown: 0,
            wrongAnswers: 0,
            falseNotRun: 0,
        });
    },
);

When(
    "the backend server stand-in sheds, then drains, then receives calls past their deadline",
    async function (this: World) {
        const backend = this.standinBackend as StandInBackendServer;
        const placeOrder = async (deadlineMs: string) => {
            const headers = { "tanagertray-deadline-ms": deadlineMs, "x-ledger-id": "c1" };
            const response = await fetch(backend.url, { method: "POST", headers, body: "order" });
            return `${response.status} ${response.headers.get("tanagertray-outcome")}`;
        };
        backend.setFaults({ shed: true });
        this.refusals = [await placeOrder("1000")];
        backend.setFaults({ shed: false, draining: true });
        this.refusals.push(await placeOrder("1000"));
        backend.setFaults({ draining: false });
        this.refusals.push(await placeOrder("0"));
    },
);

Then("every one of these calls is refused as not run and the run ledger is empty", function (this: World) {
    assert.deepEqual(this.refusals, ["503 not-run", "503 not-run", "503 not-run"]);
    assert.deepEqual(this.standinBackend?.ledger().runs, []);
});
