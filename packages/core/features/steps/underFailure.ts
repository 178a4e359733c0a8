import { Then, When } from "@cucumber/cucumber";
import { Spread } from "@tanagertray/core";
import assert from "node:assert/strict";
import { createFleet, type Fleet } from "../support/fleet.js";
import { ChangeStep, platformName, type FleetHost } from "../support/fleetModel.js";

interface World {
    reports: { run: string; violations: readonly string[]; lagging: readonly string[] }[];
}

/** Time within which every host must serve an accepted version, in milliseconds. */
const convergenceDeadlineMs = 9_000;

type EndFault = () => void;
/** Starts a fault and returns the function that ends it. */
type StartFault = (fleet: Fleet) => EndFault;

function inject(fleet: Fleet, faults: Partial<Fleet["injected"]>): EndFault {
    const before = Object.fromEntries(
        Object.keys(faults).map(key => [key, fleet.injected[key as keyof Fleet["injected"]]]),
    );
    Object.assign(fleet.injected, faults);
    return () => void Object.assign(fleet.injected, before);
}

function blockMessages(fleet: Fleet, isBlocked: (a: FleetHost, b: FleetHost) => boolean): EndFault {
    fleet.injected.blockedPairs.add(isBlocked);
    return () => void fleet.injected.blockedPairs.delete(isBlocked);
}

const hostNames = (fleet: Fleet, domain = "") =>
    fleet.hosts.map(host => host.name).filter(name => name.startsWith(domain));

function killHosts(fleet: Fleet, names: readonly string[]): EndFault {
    names.forEach(fleet.kill);
    return () => names.forEach(fleet.revive);
}

function pauseHosts(fleet: Fleet, names: readonly string[]): EndFault {
    names.forEach(fleet.pause);
    return () => names.forEach(fleet.resume);
}

const startFault: Readonly<Record<string, StartFault>> = {
    "herd death": fleet => killHosts(fleet, ["a1", "a2", ...hostNames(fleet, "b"), ...hostNames(fleet, "c")]),
    "reconnect storm": fleet => {
        const unblock = blockMessages(fleet, () => true);
        return () => {
            unblock();
            const names = hostNames(fleet, "b");
            killHosts(fleet, names)();
        };
    },
    "source outage": fleet => inject(fleet, { objectsDown: true }),
    "crossed updates": fleet => inject(fleet, { maxMessageDelayMs: 2_500 }),
    "store down": fleet => inject(fleet, { storeDown: true }),
    "store slow": fleet => inject(fleet, { storeSlow: true }),
    "lost answers": fleet => inject(fleet, { lostAnswerChance: 0.8 }),
    "a paused host": fleet => pauseHosts(fleet, ["b0", "c1"]),
    "a paused operator command": fleet => {
        fleet.onStep(ChangeStep.PartsWritten, from => fleet.pause(from));
        return () => {
            fleet.onStep(ChangeStep.PartsWritten, () => {});
            hostNames(fleet).forEach(fleet.resume);
        };
    },
    "operators racing": fleet => {
        fleet.submitChange("b0", 7, "rival");
        fleet.submitChange("c1", 8, "other-rival");
        return () => {};
    },
    "silent connections": fleet => {
        for (const [a, b] of [
            ["a0", "b0"],
            ["a0", "a1"],
            ["b1", "c0"],
            ["c0", "c2"],
        ]) {
            fleet.injected.silent.add(`${a}-${b}`);
        }
        return () => {};
    },
    "partition between domains": fleet => blockMessages(fleet, (a, b) => a.domain !== b.domain),
    "partition from the platform": fleet => {
        hostNames(fleet)
            .slice(1)
            .forEach(name => fleet.injected.cutFromPlatform.add(name));
        return () => fleet.injected.cutFromPlatform.clear();
    },
    "stale reads": fleet => inject(fleet, { staleReadChance: 0.5 }),
};

/** Starts a fleet and waits until every host serves version 1. */
function startFleet(spread: Spread, seed: number): Fleet {
    const fleet = createFleet(spread, seed);
    fleet.run(1_000);
    fleet.submitChange("a0", 1, "first");
    fleet.run(3_000);
    assert.deepEqual(fleet.laggingHosts(1), [], `seed ${seed}: the fleet did not start`);
    return fleet;
}

/** Checks that every host serves the newest good version in time, then submits one more change and checks again. */
function finishRun(fleet: Fleet, run: string) {
    const lagging: string[] = [];
    const waitForVersion = (phase: string) => {
        fleet.run(convergenceDeadlineMs);
        const version = fleet.newestGood();
        lagging.push(...fleet.laggingHosts(version).map(host => `${phase}, accepted ${version}: ${host}`));
    };
    waitForVersion("after the fault");
    fleet.submitChange("b1", 9, "last");
    fleet.run(200);
    waitForVersion("after the next change");
    const versions = fleet.headVersions();
    const isMonotonic = versions.every((version, i) => version === i + 1);
    const violations = [
        ...fleet.violations,
        ...(isMonotonic ? [] : [`the head moved through ${versions.join(",")}`]),
        ...(fleet.outcomes.includes("last: accepted")
            ? []
            : [`the next change ended as ${fleet.outcomes.join(",")}`]),
    ];
    return { run, violations, lagging };
}

function runWithFaults(names: readonly string[], spread: Spread, seed: number) {
    const fleet = startFleet(spread, seed);
    const endFaults = names.map(name => (startFault[name] as StartFault)(fleet));
    fleet.submitChange("a0", 2, "change");
    fleet.run(6_000);
    fleet.acceptBadVersion();
    fleet.run(3_000);
    endFaults.forEach(endFault => endFault());
    return finishRun(fleet, `${names.join(" and ")}, ${spread}, seed ${seed}`);
}

When(
    "the configuration changes during {string} with each kind of spread and {int} seeds",
    function (this: World, fault: string, seeds: number) {
        this.reports = Object.values(Spread).flatMap(spread =>
            Array.from({ length: seeds }, (_, seed) => runWithFaults([fault], spread, seed + 1)),
        );
    },
);

When("the configuration changes during every pair of faults", function (this: World) {
    const names = Object.keys(startFault);
    this.reports = names.flatMap((first, i) =>
        names
            .slice(i + 1)
            .map((second, j) => runWithFaults([first, second], j % 2 === 0 ? "eager" : "lazy", i * 20 + j)),
    );
});

type Disrupt = (fleet: Fleet, participant: string) => EndFault;

/** For the platform, a kill means an outage, a pause slow answers, and a cut that only one host can reach it. */
const platformDisruptions: Readonly<Record<string, StartFault>> = {
    kill: fleet => inject(fleet, { storeDown: true }),
    pause: fleet => inject(fleet, { storeSlow: true }),
    cut: startFault["partition from the platform"] as StartFault,
};

const hostDisruptions: Readonly<Record<string, Disrupt>> = {
    kill: (fleet, name) => killHosts(fleet, [name]),
    pause: (fleet, name) => pauseHosts(fleet, [name]),
    cut: (fleet, name) => {
        const unblock = blockMessages(fleet, a => a.name === name);
        fleet.injected.cutFromPlatform.add(name);
        return () => {
            unblock();
            fleet.injected.cutFromPlatform.delete(name);
        };
    },
};

function runDisruption(step: ChangeStep, disruption: string, side: 0 | 1, spread: Spread, seed: number) {
    const fleet = startFleet(spread, seed);
    const endFaults: EndFault[] = [];
    let isReached = false;
    fleet.onStep(step, (...participants) => {
        isReached = true;
        const participant = participants[side];
        const disrupt =
            participant === platformName ? platformDisruptions[disruption] : hostDisruptions[disruption];
        endFaults.push((disrupt as Disrupt)(fleet, participant));
    });
    fleet.injected.lostAnswerChance = step === ChangeStep.AnswerLost ? 1 : 0;
    fleet.submitChange("a0", 2, "change");
    fleet.run(8_000);
    fleet.injected.lostAnswerChance = 0;
    endFaults.forEach(endFault => endFault());
    const report = finishRun(fleet, `${disruption} of side ${side} when ${step}, ${spread}, seed ${seed}`);
    return isReached ? report : { ...report, violations: ["the step was not reached"] };
}

When(
    "the sender and then the receiver suffer a {word} at the step {string}",
    function (this: World, disruption: string, step: ChangeStep) {
        this.reports = ([0, 1] as const).map(side =>
            runDisruption(step, disruption, side, side === 0 ? Spread.Eager : Spread.Lazy, 100 + side),
        );
    },
);

Then("no host of the fleet ever moved to a lower version or held an incomplete one", function (this: World) {
    const failed = this.reports.filter(report => report.violations.length > 0);
    assert.deepEqual(
        failed.map(({ run, violations }) => `${run}: ${violations.slice(0, 3).join("; ")}`),
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
