import { Given, Then, When } from "@cucumber/cucumber";
import {
    checkAnswers,
    consumeRetry,
    createRetryBudget,
    decodeResource,
    findPathRoute,
    generateConfiguration,
    pickDestination,
    recordCall,
    Repetition,
    resolveAnswers,
    ResourceKind,
    resourceName,
    type Answers,
    type PathRoute,
    type Problem,
    type Resource,
    type RetryBudget,
} from "@tanagertray/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createSeededRandom } from "../support/seededRandom.js";

interface World {
    resources: Map<string, Resource>;
    answers: Answers;
}

function makeRoute(name: string, hostName: string, prefix: string): PathRoute {
    return {
        kind: ResourceKind.PathRoute,
        name,
        hostName,
        prefix,
        destinations: [{ service: "service/s", weight: 1 }],
        repetition: Repetition.Safe,
        maxAttempts: 2,
        timeoutMs: 1_000,
        latencyObjectiveMs: 400,
        priority: 0,
    };
}

Given(
    "path routes {string}, {string} and {string} of host {string}, and {string} of host {string}",
    function (
        this: World,
        first: string,
        second: string,
        third: string,
        one: string,
        other: string,
        two: string,
    ) {
        const routes = [
            ...[first, second, third].map((prefix, at) => makeRoute(`one-${at}`, one, prefix)),
            makeRoute("two", two, other),
        ];
        this.resources = new Map(routes.map(route => [resourceName(route.kind, route.name), route]));
    },
);

Then(
    "a call to {string} and {string} takes route {word}",
    function (this: World, hostName: string, path: string, route: string) {
        assert.equal(findPathRoute(this.resources, { hostName, path })?.name ?? "none", route);
    },
);

Then(
    "for any weights the shares of 10000 calls are within 0.03 of the weights, and weight 0 gets none",
    function () {
        const calls = 10_000;
        fc.assert(
            fc.property(
                fc.array(fc.nat(100), { minLength: 1, maxLength: 5 }),
                fc.integer(),
                (weights, seed) => {
                    fc.pre(weights.some(weight => weight > 0));
                    const total = weights.reduce((sum, weight) => sum + weight, 0);
                    const destinations = weights.map((weight, at) => ({ service: String(at), weight }));
                    const random = createSeededRandom(seed);
                    const counts = weights.map(() => 0);
                    for (let call = 0; call < calls; call += 1) {
                        const at = Number(pickDestination(destinations, random())?.service);
                        counts[at] = (counts[at] ?? 0) + 1;
                    }
                    weights.forEach((weight, at) => {
                        const share = (counts[at] ?? 0) / calls;
                        assert.ok(
                            Math.abs(share - weight / total) <= 0.03,
                            `share ${share} of ${weight}/${total}`,
                        );
                        assert.ok(weight > 0 || share === 0);
                    });
                },
            ),
            { numRuns: 50, seed: 1 },
        );
    },
);

Given("answers with a path route and limits", function (this: World) {
    this.answers = {
        deployment: "demo",
        services: {
            stock: {
                slots: 4,
                connections: 8,
                operations: [{ name: "read", method: "GET", path: "/**", repeatable: true }],
            },
        },
        callers: {},
        routes: {
            items: {
                hostName: "stock.example",
                prefix: "/items/",
                destinations: { stock: 1 },
                repetition: Repetition.Safe,
            },
        },
        limits: { idleTimeoutMs: 15_000 },
    };
});

Then(
    "the generated configuration holds the route with its defaults and the limits, needed on every host",
    function (this: World) {
        const { manifest, parts } = generateConfiguration(resolveAnswers(this.answers), { version: 1 });
        const read = (name: string) => {
            const entry = manifest.entries[name];
            assert.ok(entry !== undefined, `the manifest lacks ${name}`);
            assert.ok(entry.neededBy.includes("*") && entry.neededBy.includes("stock"), name);
            return decodeResource(name, parts.get(entry.hash) as Uint8Array).unsafeCoerce();
        };
        assert.deepEqual(read("pathRoute/items"), {
            ...makeRoute("items", "stock.example", "/items/"),
            destinations: [{ service: "service/stock", weight: 1 }],
            timeoutMs: 5_000,
            latencyObjectiveMs: 5_000,
        });
        assert.deepEqual(read("limits/callers"), {
            kind: ResourceKind.Limits,
            name: "callers",
            maxHeaderBytes: 16_384,
            maxBodyBytes: 1_048_576,
            headerTimeoutMs: 10_000,
            idleTimeoutMs: 15_000,
        });
    },
);

const routeChanges: Record<
    string,
    (route: Record<string, unknown>, routes: Record<string, unknown>) => void
> = {
    "the prefix lacks its last slash": route => (route["prefix"] = "/items"),
    "a destination names an unknown service": route => (route["destinations"] = { stok: 1 }),
    "every weight is 0": route => (route["destinations"] = { stock: 0 }),
    "a second route has the same prefix": (route, routes) => (routes["more"] = { ...route }),
    "the repetition is unknown": route => (route["repetition"] = "sometimes"),
};

When(
    /^(the prefix lacks|a destination names|every weight|a second route|the repetition)(.+)$/,
    function (this: World, start: string, rest: string) {
        const routes = this.answers.routes as unknown as Record<string, Record<string, unknown>>;
        routeChanges[`${start}${rest}`]?.(routes["items"] ?? {}, routes);
    },
);

Then("the answers are rejected at {string}", function (this: World, location: string) {
    const mistakes = checkAnswers(this.answers).swap().unsafeCoerce() as readonly Problem[];
    assert.deepEqual(
        mistakes.map(({ where }) => where),
        [location],
    );
});

Then(
    "for any sequence of calls and retries the retries stay within the ratio of the calls and the burst",
    function () {
        const limits = fc.record({ ratio: fc.double({ min: 0, max: 1, noNaN: true }), burst: fc.nat(20) });
        fc.assert(
            fc.property(limits, fc.array(fc.boolean(), { maxLength: 300 }), ({ ratio, burst }, steps) => {
                const budget = createRetryBudget({ ratio, burst });
                let calls = 0;
                let retries = 0;
                for (const isCall of steps) {
                    if (isCall) {
                        recordCall(budget);
                        calls += 1;
                    } else if (consumeRetry(budget, 0, 2)) {
                        retries += 1;
                    }
                }
                assert.ok(retries <= burst + ratio * calls + 1e-6, `${retries} retries of ${calls} calls`);
            }),
            { numRuns: 300, seed: 1 },
        );
    },
);

/** Retry limits of each host, as in the settings of the deployment. */
const hostLimits = { ratio: 0.15, burst: 2 };
const hostCount = 24;
const deploymentRetryRatio = 0.2;
const deploymentRetryExtra = 64;
const windowMs = 10_000;

Then(
    "24 hosts that join and restart at random retry at most a fifth of the calls plus 64 in any 10 s",
    function () {
        const random = createSeededRandom(5);
        const stepMs = 100;
        const steps: { calls: number; retries: number }[] = [];
        const budgets: RetryBudget[] = Array.from({ length: hostCount }, () => createRetryBudget(hostLimits));
        const restartsLeft = Array.from({ length: hostCount }, () => 1);
        for (let at = 0; at < 600; at += 1) {
            const step = { calls: 0, retries: 0 };
            budgets.forEach((budget, host) => {
                // A restarted host has its full burst again; each host restarts at most once in a window.
                if (at % (windowMs / stepMs) === 0) {
                    restartsLeft[host] = 1;
                }
                if ((restartsLeft[host] ?? 0) > 0 && random() < 0.001) {
                    restartsLeft[host] = 0;
                    budgets[host] = createRetryBudget(hostLimits);
                }
                for (let call = 0; call < Math.floor(random() * 4); call += 1) {
                    recordCall(budget);
                    step.calls += 1;
                }
                // Every call fails, so the host retries as often as the budget allows.
                while (consumeRetry(budgets[host] ?? budget, 0, 2)) {
                    step.retries += 1;
                }
            });
            steps.push(step);
        }
        for (let end = windowMs / stepMs; end <= steps.length; end += 1) {
            const window = steps.slice(end - windowMs / stepMs, end);
            const calls = window.reduce((sum, step) => sum + step.calls, 0);
            const retries = window.reduce((sum, step) => sum + step.retries, 0);
            assert.ok(
                retries <= deploymentRetryRatio * calls + deploymentRetryExtra,
                `${retries} retries of ${calls} calls`,
            );
        }
    },
);
