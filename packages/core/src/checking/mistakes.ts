import type { ProblemCode } from "../problem.js";
import { problem, type Problem } from "../problem.js";
import { maxDisplayedLength, maxMistakes } from "./constants.js";

export interface Mistakes {
    /** Records a mistake. The path consists of the keys and array indexes that lead to the value. */
    add(path: Path, message: string, nextStep?: string): void;
    list(): readonly Problem[];
}

export type Path = readonly (string | number)[];

/** Collects mistakes up to a limit and counts the rest. */
export function createMistakes(code: ProblemCode): Mistakes {
    const found: Problem[] = [];
    let omitted = 0;
    return {
        add(path, message, nextStep) {
            if (found.length >= maxMistakes) {
                omitted += 1;
                return;
            }
            const details = { where: formatPath(path), ...(nextStep === undefined ? {} : { nextStep }) };
            found.push(problem(code, message, details));
        },
        list() {
            const summary = `${omitted} more mistakes are not listed`;
            return omitted === 0 ? found : [...found, problem(code, summary, { where: "(file)" })];
        },
    };
}

/** Formats a path, for example as `services.slot-booking.operations[2].path`. */
export function formatPath(path: Path): string {
    const text = path.map(step => (typeof step === "number" ? `[${step}]` : `.${shorten(step)}`)).join("");
    return text === "" ? "(file)" : text.replace(/^\./, "");
}

/** Formats a value for a message, truncated to one line. */
export function describeValue(value: unknown): string {
    if (Array.isArray(value)) {
        return `an array of ${value.length} entries`;
    }
    if (typeof value === "object" && value !== null) {
        return `an object with ${Object.keys(value).length} keys`;
    }
    return shorten(JSON.stringify(value) ?? String(value));
}

function shorten(text: string): string {
    return text.length <= maxDisplayedLength ? text : `${text.slice(0, maxDisplayedLength)}…`;
}

/** Formats a mistake as one line of output. */
export function formatMistake(mistake: Problem): string {
    const nextStep = mistake.nextStep === undefined ? "" : ` (${mistake.nextStep})`;
    return `${mistake.where ?? "(file)"}: ${mistake.message}${nextStep}`;
}
