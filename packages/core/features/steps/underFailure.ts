import { Then, When } from "@cucumber/cucumber";
import { Spread } from "@tanagertray/core";
import assert from "node:assert/strict";
import { createFleet, type Fleet } from "../support/fleet.js";
import { ChangeStep, platformEnd, type FleetHost } from "../support/fleetModel.js";

interface World {
    reports: { run: string; faults: readonly string[]; lagging: readonly string[] }[];
}

/** Bound of the requirement, in milliseconds. */
const inForceMs = 9_000;

type End = () => void;
/** Begins a fault; the returned function ends it. */
type Condition = (fleet: Fleet) => End;

function during(fleet: Fleet, change: Partial<Fleet["trouble"]>): End {
    const before = Object.fromEntries(
        Object.keys(change).map(key => [key, fleet.trouble[key as keyof Fleet["trouble"]]]),
    );
    Object.assign(fleet.trouble, change);
    return () => void Object.assign(fleet.trouble, before);
}

function cutting(fleet: Fleet, cut: (a: FleetHost, b: FleetHost) => boolean): End {
    fleet.trouble.cuts.add(cut);
    return () => void fleet.trouble.cuts.delete(cut);
}

const namesOf = (fleet: Fleet, domain = "") =>
    fleet.hosts.map(host => host.name).filter(name => name.startsWith(domain));

function killing(fleet: Fleet, names: readonly string[]): End {
    names.forEach(fleet.kill);
    return () => names.forEach(fleet.revive);
}

function pausing(fleet: Fleet, names: readonly string[]): End {
    names.forEach(fleet.pause);
    return () => names.forEach(fleet.resume);
}

const conditions: Readonly<Record<string, Condition>> = {
    "herd death": fleet => killing(fleet, ["a1", "a2", ...namesOf(fleet, "b"), ...namesOf(fleet, "c")]),
    "reconnect storm": fleet => {
        const end = cutting(fleet, () => true);
        return () => {
            end();
            const names = namesOf(fleet, "b");
            killing(fleet, names)();
        };
    },
    "source outage": fleet => during(fleet, { objectsDown: true }),
    "crossed updates": fleet => during(fleet, { longestDelayMs: 2_500 }),
    "store down": fleet => during(fleet, { storeDown: true }),
    "store slow": fleet => during(fleet, { storeSlow: true }),
    "lost answers": fleet => during(fleet, { lostChance: 0.8 }),
    "a paused host": fleet => pausing(fleet, ["b0", "c1"]),
    "a paused operator command": fleet => {
        fleet.on(ChangeStep.PartsWritten, from => fleet.pause(from));
        return () => {
            fleet.on(ChangeStep.PartsWritten, () => {});
            namesOf(fleet).forEach(fleet.resume);
        };
    },
    "operators racing": fleet => {
        fleet.change("b0", 7, "rival");
        fleet.change("c1", 8, "other-rival");
        return () => {};
    },
    "silent connections": fleet => {
        for (const [a, b] of [
            ["a0", "b0"],
            ["a0", "a1"],
            ["b1", "c0"],
            ["c0", "c2"],
        ]) {
            fleet.trouble.silent.add(`${a}-${b}`);
        }
        return () => {};
    },
    "partition between domains": fleet => cutting(fleet, (a, b) => a.domain !== b.domain),
    "partition from the platform": fleet => {
        namesOf(fleet)
            .slice(1)
            .forEach(name => fleet.trouble.cutFromPlatform.add(name));
        return () => fleet.trouble.cutFromPlatform.clear();
    },
    "stale reads": fleet => during(fleet, { staleChance: 0.5 }),
};

/** Starts a fleet on version 1. */
function startFleet(spread: Spread, seed: number): Fleet {
    const fleet = createFleet(spread, seed);
    fleet.run(1_000);
    fleet.change("a0", 1, "first");
    fleet.run(3_000);
    assert.deepEqual(fleet.lagging(1), [], `seed ${seed}: the fleet did not start`);
    return fleet;
}

/** Waits for the newest good version, then accepts one more and waits for that. */
function finish(fleet: Fleet, run: string) {
    const lagging: string[] = [];
    const await9 = (phase: string) => {
        fleet.run(inForceMs);
        const version = fleet.newestGood();
        lagging.push(...fleet.lagging(version).map(host => `${phase}, accepted ${version}: ${host}`));
    };
    await9("after the fault");
    fleet.change("b1", 9, "last");
    fleet.run(200);
    await9("after the next change");
    const versions = fleet.headVersions();
    const isMonotonic = versions.every((version, i) => version === i + 1);
    const faults = [
        ...fleet.faults,
        ...(isMonotonic ? [] : [`the head moved through ${versions.join(",")}`]),
        ...(fleet.outcomes.includes("last: accepted")
            ? []
            : [`the next change ended as ${fleet.outcomes.join(",")}`]),
    ];
    return { run, faults, lagging };
}

function runCondition(names: readonly string[], spread: Spread, seed: number) {
    const fleet = startFleet(spread, seed);
    const ends = names.map(name => (conditions[name] as Condition)(fleet));
    fleet.change("a0", 2, "change");
    fleet.run(6_000);
    fleet.acceptBad();
    fleet.run(3_000);
    ends.forEach(end => end());
    return finish(fleet, `${names.join(" and ")}, ${spread}, seed ${seed}`);
}

When(
    "the configuration changes during {string} with each kind of spread and {int} seeds",
    function (this: World, fault: string, seeds: number) {
        this.reports = Object.values(Spread).flatMap(spread =>
            Array.from({ length: seeds }, (_, seed) => runCondition([fault], spread, seed + 1)),
        );
    },
);

When("the configuration changes during every pair of faults", function (this: World) {
    const names = Object.keys(conditions);
    this.reports = names.flatMap((first, i) =>
        names
            .slice(i + 1)
            .map((second, j) => runCondition([first, second], j % 2 === 0 ? "eager" : "lazy", i * 20 + j)),
    );
});

type Act = (fleet: Fleet, end: string) => End;

/** The platform is not killed or paused: it is down, slow, or out of reach of one host. */
const actsOnPlatform: Readonly<Record<string, Condition>> = {
    kill: fleet => during(fleet, { storeDown: true }),
    pause: fleet => during(fleet, { storeSlow: true }),
    cut: conditions["partition from the platform"] as Condition,
};

const actsOnHosts: Readonly<Record<string, Act>> = {
    kill: (fleet, name) => killing(fleet, [name]),
    pause: (fleet, name) => pausing(fleet, [name]),
    cut: (fleet, name) => {
        const end = cutting(fleet, a => a.name === name);
        fleet.trouble.cutFromPlatform.add(name);
        return () => {
            end();
            fleet.trouble.cutFromPlatform.delete(name);
        };
    },
};

function runStep(step: ChangeStep, act: string, side: 0 | 1, spread: Spread, seed: number) {
    const fleet = startFleet(spread, seed);
    const ends: End[] = [];
    let reached = false;
    fleet.on(step, (...sides) => {
        reached = true;
        const end = sides[side];
        const begin = end === platformEnd ? actsOnPlatform[act] : actsOnHosts[act];
        ends.push((begin as Act)(fleet, end));
    });
    fleet.trouble.lostChance = step === ChangeStep.AnswerLost ? 1 : 0;
    fleet.change("a0", 2, "change");
    fleet.run(8_000);
    fleet.trouble.lostChance = 0;
    ends.forEach(end => end());
    const report = finish(fleet, `${act} of end ${side} when ${step}, ${spread}, seed ${seed}`);
    return reached ? report : { ...report, faults: ["the step was not reached"] };
}

When(
    "each end of a change suffers a {word} at the step {string}",
    function (this: World, act: string, step: ChangeStep) {
        this.reports = ([0, 1] as const).map(side =>
            runStep(step, act, side, side === 0 ? Spread.Eager : Spread.Lazy, 100 + side),
        );
    },
);

Then("no host of the fleet ever went back or held a version in part", function (this: World) {
    const failed = this.reports.filter(report => report.faults.length > 0);
    assert.deepEqual(
        failed.map(({ run, faults }) => `${run}: ${faults.slice(0, 3).join("; ")}`),
        [],
    );
});

Then(
    "every host of the fleet served each accepted version within 9 s after the fault",
    function (this: World) {
        const failed = this.reports.filter(report => report.lagging.length > 0);
        assert.deepEqual(
            failed.map(({ run, lagging }) => `${run}: ${lagging.slice(0, 4).join("; ")}`),
            [],
        );
    },
);
