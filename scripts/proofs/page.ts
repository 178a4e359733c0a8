import { faults, notes, points } from "./matrix.js";
import type { Scenario } from "./scenarios.js";

/** Scenarios that turn red when a protection is removed. */
export interface MutationResult {
    readonly protection: string;
    readonly file: string;
    readonly red: readonly string[];
}

const notProved = "not proved";

/** Writes the page of proofs from the scenarios' tags and the last mutation run. */
export function formatProofs(scenarios: readonly Scenario[], mutations: readonly MutationResult[]): string {
    const tagged = scenarios.filter(scenario => Object.keys(points).some(tag => scenario.tags.has(tag)));
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
    const rule = `| --- |${" --- |".repeat(columns.length + 1)}`;
    const rows = Object.entries(points).map(([point, text]) => {
        const plain = numbersOf(tagged, scenario => scenario.tags.has(point) && !hasFault(scenario));
        const cells = Object.keys(faults).map(fault => formatCell(tagged, point, fault));
        return `| ${text} | ${plain || "–"} | ${cells.join(" | ")} |`;
    });
    return [header, rule, ...rows];
}

function formatCell(tagged: readonly Scenario[], point: string, fault: string): string {
    const numbers = numbersOf(tagged, scenario => scenario.tags.has(point) && scenario.tags.has(fault));
    return numbers || notes[`${point} ${fault}`] || notProved;
}

function numbersOf(tagged: readonly Scenario[], matches: (scenario: Scenario) => boolean): string {
    return tagged.flatMap((scenario, index) => (matches(scenario) ? [String(index + 1)] : [])).join(", ");
}

function hasFault(scenario: Scenario): boolean {
    return Object.keys(faults).some(fault => scenario.tags.has(fault));
}

function listGaps(tagged: readonly Scenario[]): string[] {
    return Object.entries(points).map(([point, text]) => {
        const gaps = Object.keys(faults).filter(fault => formatCell(tagged, point, fault) === notProved);
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
