import { Then } from "@cucumber/cucumber";
import {
    chooseTarget,
    createObservation,
    ejectedHosts,
    estimateCost,
    recordCapacityReport,
    recordFailure,
    recordRefusal,
    Tier,
    type HostObservation,
    type SelectionOptions,
    type ServiceTargets,
    type Target,
} from "@tanagertray/core";
import assert from "node:assert/strict";
import { createSeededRandom } from "../support/seededRandom.js";

const now = 1_000_000;

const makeTarget = (host: string): Target => ({
    host,
    address: `${host}:1`,
    incarnation: 1,
    slots: 4,
    startedAt: 0,
    isSuspect: false,
});

const emptyTargets: ServiceTargets = {
    [Tier.OwnHost]: [],
    [Tier.OwnFailureDomain]: [],
    [Tier.OwnRegion]: [],
    [Tier.OtherRegions]: [],
};
const baseOptions = { now, coldStartMs: 0, excluded: new Set<string>() };

Then(
    "a choice looks up at most {int} observations with {int} and with {int} hosts of a tier",
    function (limit: number, few: number, many: number) {
        for (const size of [few, many]) {
            const tier = Array.from({ length: size }, (_, index) => makeTarget(`h${index}`));
            const observations = new Map(tier.map(({ host }) => [host, createObservation()]));
            observations.forEach(seen =>
                recordCapacityReport(seen, { calls: 0, slots: 4, serviceMs: 100 }, now),
            );
            let lookups = 0;
            const counting = Object.assign(new Map(observations), {
                get: (host: string) => ((lookups += 1), observations.get(host)),
                values: () => ((lookups += size), observations.values()),
            });
            const targets = { ...emptyTargets, [Tier.OwnFailureDomain]: tier };
            chooseTarget(targets, { ...baseOptions, observations: counting, random: createSeededRandom(5) });
            assert.ok(lookups <= limit, `${lookups} lookups with ${size} hosts`);
        }
    },
);

Then(
    "{int} random tiers of {int} to {int} hosts are chosen from as often as all pairs of their eligible hosts",
    function (tiers: number, minHosts: number, maxHosts: number) {
        const random = createSeededRandom(11);
        for (let run = 0; run < tiers; run += 1) {
            const size = minHosts + Math.floor(random() * (maxHosts - minHosts + 1));
            const tier = Array.from({ length: size }, (_, index) => ({
                ...makeTarget(`h${index}`),
                isSuspect: random() < 0.2,
            }));
            const observations = new Map(
                tier.map(({ host }) => [host, createRandomObservation(random)] as const),
            );
            const excluded = new Set(tier.filter(() => random() < 0.1).map(({ host }) => host));
            const options = { ...baseOptions, observations, excluded, random };
            const expected = shareByHost(tier, options);
            const draws = 4_000;
            const chosen = new Map<string, number>();
            for (let draw = 0; draw < draws; draw += 1) {
                const targets = { ...emptyTargets, [Tier.OwnFailureDomain]: tier };
                const host = chooseTarget(targets, options)?.target.host ?? "none";
                chosen.set(host, (chosen.get(host) ?? 0) + 1 / draws);
            }
            for (const host of new Set([...expected.keys(), ...chosen.keys()])) {
                const difference = Math.abs((expected.get(host) ?? 0) - (chosen.get(host) ?? 0));
                assert.ok(difference < 0.04, `${host} of tier ${run} differs by ${difference}`);
            }
        }
    },
);

function createRandomObservation(random: () => number): HostObservation {
    const observation = createObservation();
    recordCapacityReport(observation, { calls: 0, slots: 4, serviceMs: 50 + 400 * random() }, now);
    if (random() < 0.2) {
        [1, 2, 3].forEach(() => recordFailure(observation, now));
    }
    if (random() < 0.2) {
        recordRefusal(observation, now, { saturated: true, retryAfterMs: 500 });
    }
    return observation;
}

/** Share of the calls that each host gets when all pairs of different eligible hosts are equally likely. */
function shareByHost(
    tier: readonly Target[],
    options: Pick<SelectionOptions, "observations" | "excluded" | "now" | "coldStartMs">,
): Map<string, number> {
    const ejected = ejectedHosts(tier, options);
    const allowed = tier.filter(({ host }) => !options.excluded.has(host) && !ejected.has(host));
    const preferred = allowed.filter(
        ({ host, isSuspect }) =>
            !isSuspect && (options.observations.get(host)?.saturatedUntil ?? 0) <= options.now,
    );
    const eligible = preferred.length > 0 ? preferred : allowed;
    const shares = new Map<string, number>();
    for (const a of eligible) {
        for (const b of eligible) {
            if (a !== b || eligible.length === 1) {
                const better = estimateCost(b, options) < estimateCost(a, options) ? b : a;
                const pairs = eligible.length * Math.max(1, eligible.length - 1);
                shares.set(better.host, (shares.get(better.host) ?? 0) + 1 / pairs);
            }
        }
    }
    return shares;
}
