import { cellNotes, faults, guarantees } from "./matrix.js";
import type { Scenario } from "./scenarios.js";

/** Scenarios that fail when a protection is removed. */
export interface MutationResult {
    readonly protection: string;
    readonly file: string;
    readonly red: readonly string[];
}

const notProved = "not proved";

/** Formats the proofs page from the tags of the scenarios and the results of the mutation runs. */
export function formatProofs(scenarios: readonly Scenario[], mutations: readonly MutationResult[]): string {
    const tagged = scenarios.filter(scenario => Object.keys(guarantees).some(tag => scenario.tags.has(tag)));
    return [
        "# Proofs",
        "",
        "`npm run proofs` writes this page from the tags of the scenarios; CI fails when it is out of date.",
        "A cell gives the numbers of the scenarios that prove the point under that fault.",
        "",
        ...formatMatrix(tagged),
        "",
        "## Scenarios",
        "",
        ...tagged.map((scenario, index) => `${index + 1}. ${scenario.name} (\`${scenario.file}\`)`),
        "",
        "## Not proved",
        "",
        ...listGaps(tagged),
        "",
        "## Protections removed one at a time",
        "",
        "`npm run mutate` takes each protection out of a copy of the code and runs the scenarios on it.",
        "",
        ...formatMutations(mutations),
        "",
    ].join("\n");
}

function formatMatrix(tagged: readonly Scenario[]): string[] {
    const columns = Object.values(faults);
    const header = `| point | without a fault | ${columns.join(" | ")} |`;
    const separator = `| --- |${" --- |".repeat(columns.length + 1)}`;
    const rows = Object.entries(guarantees).map(([tag, text]) => {
        const withoutFault = scenarioNumbers(
            tagged,
            scenario => scenario.tags.has(tag) && !hasFault(scenario),
        );
        const cells = Object.keys(faults).map(fault => formatCell(tagged, tag, fault));
        return `| ${text} | ${withoutFault || "–"} | ${cells.join(" | ")} |`;
    });
    return [header, separator, ...rows];
}

function formatCell(tagged: readonly Scenario[], guarantee: string, fault: string): string {
    const numbers = scenarioNumbers(
        tagged,
        scenario => scenario.tags.has(guarantee) && scenario.tags.has(fault),
    );
    return numbers || cellNotes[`${guarantee} ${fault}`] || notProved;
}

function scenarioNumbers(tagged: readonly Scenario[], matches: (scenario: Scenario) => boolean): string {
    return tagged.flatMap((scenario, index) => (matches(scenario) ? [String(index + 1)] : [])).join(", ");
}

function hasFault(scenario: Scenario): boolean {
    return Object.keys(faults).some(fault => scenario.tags.has(fault));
}

function listGaps(tagged: readonly Scenario[]): string[] {
    return Object.entries(guarantees).map(([tag, text]) => {
        const gaps = Object.keys(faults).filter(fault => formatCell(tagged, tag, fault) === notProved);
        const names = gaps.map(fault => faults[fault]).join(", ");
        return `- ${text}: ${names === "" ? "proved under every fault" : names}.`;
    });
}

function formatMutations(mutations: readonly MutationResult[]): string[] {
    if (mutations.length === 0) {
        return ["Not run yet."];
    }
    const rows = mutations.map(({ protection, file, red }) => {
        const cell = red.length === 0 ? "none: **no proof yet**" : `${red.length}: ${red.join("; ")}`;
        return `| ${protection} | \`${file}\` | ${cell} |`;
    });
    return ["| protection removed | file | scenarios that turn red |", "| --- | --- | --- |", ...rows];
}
