import type { ProblemCode } from "../problem.js";
import { problem, type Problem } from "../problem.js";
import { maxMistakes, maxShownLength } from "./constants.js";

export interface Mistakes {
    /** Records a mistake; the path is a list of keys and positions. */
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
            const rest = `${omitted} more mistakes are not listed`;
            return omitted === 0 ? found : [...found, problem(code, rest, { where: "(file)" })];
        },
    };
}

/** Formats a path such as `services.slot-booking.operations[2].path`. */
export function formatPath(path: Path): string {
    const text = path.map(step => (typeof step === "number" ? `[${step}]` : `.${shorten(step)}`)).join("");
    return text === "" ? "(file)" : text.replace(/^\./, "");
}

/** Formats a value for a message, shortened to a line. */
export function describeValue(value: unknown): string {
    if (Array.isArray(value)) {
        return `a list of ${value.length} entries`;
    }
    if (typeof value === "object" && value !== null) {
        return `a group of ${Object.keys(value).length} keys`;
    }
    return shorten(JSON.stringify(value) ?? String(value));
}

function shorten(text: string): string {
    return text.length <= maxShownLength ? text : `${text.slice(0, maxShownLength)}…`;
}

/** Formats one mistake as a line for a person. */
export function formatMistake(mistake: Problem): string {
    const next = mistake.nextStep === undefined ? "" : ` (${mistake.nextStep})`;
    return `${mistake.where ?? "(file)"}: ${mistake.message}${next}`;
}
