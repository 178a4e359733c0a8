/** Runs every scenario that is not tagged `@known-red`, then prints the known failures from `KNOWN-RED.txt`. */
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import type { Envelope } from "@cucumber/messages";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const passedStatus = "PASSED";

interface Totals {
    readonly failedAttempts: Set<string>;
    /** Scenario names by the ids of pickles, test cases and attempts. */
    readonly names: Map<string, string>;
    readonly failedNames: Set<string>;
    passed: number;
    failed: number;
}

function recordNames(totals: Totals, envelope: Envelope): void {
    const { pickle, testCase, testCaseStarted } = envelope;
    if (pickle !== undefined) {
        totals.names.set(pickle.id, pickle.name);
    }
    if (testCase !== undefined) {
        totals.names.set(testCase.id, totals.names.get(testCase.pickleId) ?? "");
    }
    if (testCaseStarted !== undefined) {
        totals.names.set(testCaseStarted.id, totals.names.get(testCaseStarted.testCaseId) ?? "");
    }
}

/** Updates the totals from a message of the test runner. */
function updateTotals(totals: Totals, envelope: Envelope): void {
    recordNames(totals, envelope);
    const step = envelope.testStepFinished;
    if (step !== undefined && step.testStepResult.status !== passedStatus) {
        totals.failedAttempts.add(step.testCaseStartedId);
    }
    const finished = envelope.testCaseFinished;
    if (finished !== undefined && !finished.willBeRetried) {
        const failed = totals.failedAttempts.has(finished.testCaseStartedId);
        if (failed) {
            totals.failedNames.add(totals.names.get(finished.testCaseStartedId) ?? "");
        }
        totals.failed += failed ? 1 : 0;
        totals.passed += failed ? 0 : 1;
    }
}

const totals: Totals = {
    failedAttempts: new Set(),
    names: new Map(),
    failedNames: new Set(),
    passed: 0,
    failed: 0,
};
const tags = process.env["TANAGERTRAY_TAGS"] ?? "not @known-red";
const { runConfiguration } = await loadConfiguration({ provided: { tags } });
const { success } = await runCucumber(runConfiguration, undefined, envelope =>
    updateTotals(totals, envelope),
);
if (existsSync("KNOWN-RED.txt")) {
    process.stdout.write(
        `\nTests that are known to fail and were not run:\n${readFileSync("KNOWN-RED.txt", "utf8")}`,
    );
}
const failedFile = process.env["TANAGERTRAY_FAILED_FILE"];
if (failedFile !== undefined) {
    writeFileSync(failedFile, JSON.stringify([...totals.failedNames]));
}
process.stdout.write(`\n${totals.passed} passed, ${totals.failed} failed\n`);
// Sockets that a failed scenario left open would keep the process alive.
process.exit(success && totals.passed > 0 ? 0 : 1);
