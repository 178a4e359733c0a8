import { maxNameLength, maxPathLength, maxPort, maxUrlLength } from "./constants.js";
import { isEndpoint } from "./endpoint.js";
import { describeValue, type Mistakes, type Path } from "./mistakes.js";
import { RuleKind, type Rule, type RuleByKind } from "./rule.js";
import { suggest } from "./suggest.js";

/** Validates a value against a rule and adds a mistake for each violation. */
export function checkValue(rule: Rule, value: unknown, path: Path, mistakes: Mistakes): void {
    checkers[rule.kind](rule as never, value, path, mistakes);
}

type Checker<K extends RuleKind> = (
    rule: RuleByKind[K],
    value: unknown,
    path: Path,
    mistakes: Mistakes,
) => void;

const checkers = {
    [RuleKind.Text]: ({ min, max }, value, path, mistakes) => {
        const isValid = typeof value === "string" && value.length >= min && value.length <= max;
        addMistakeUnless(isValid, value, path, mistakes, `a string of ${min} to ${max} characters`);
    },
    [RuleKind.Secret]: ({ min, max }, value, path, mistakes) => {
        const length = typeof value === "string" ? value.length : undefined;
        if (length === undefined) {
            mistakes.add(path, `a hidden value is invalid; expected a string of ${min} to ${max} characters`);
        } else if (length < min || length > max) {
            const expected = `expected a string of ${min} to ${max} characters`;
            mistakes.add(path, `a hidden value of ${length} characters is invalid; ${expected}`);
        } else if (!/^[\x21-\x7e]+$/.test(value as string)) {
            mistakes.add(
                path,
                "a hidden value is invalid; expected printable ASCII characters without spaces",
            );
        }
    },
    [RuleKind.Name]: (_rule, value, path, mistakes) =>
        addMistakeUnless(typeof value === "string" && isName(value), value, path, mistakes, nameDescription),
    [RuleKind.Number]: ({ min, max, integer, unit }, value, path, mistakes) => {
        const isValid =
            typeof value === "number" &&
            value >= min &&
            value <= max &&
            (!integer || Number.isInteger(value));
        const range = `${integer ? "a whole number" : "a number"} from ${min} to ${max}`;
        addMistakeUnless(isValid, value, path, mistakes, unit === "" ? range : `${range} ${unit}`);
    },
    [RuleKind.Flag]: (_rule, value, path, mistakes) =>
        addMistakeUnless(typeof value === "boolean", value, path, mistakes, "true or false"),
    [RuleKind.Choice]: ({ values }, value, path, mistakes) => {
        const isValid = typeof value === "string" && values.includes(value);
        const closest = typeof value === "string" && !isValid ? suggest(value, values) : undefined;
        addMistakeUnless(isValid, value, path, mistakes, `one of ${values.join(", ")}`, { closest });
    },
    [RuleKind.Endpoint]: (_rule, value, path, mistakes) => {
        const isValid = typeof value === "string" && isEndpoint(value);
        addMistakeUnless(
            isValid,
            value,
            path,
            mistakes,
            `address:port with an IP address and a port from 1 to ${maxPort}`,
        );
    },
    [RuleKind.Url]: (_rule, value, path, mistakes) => {
        const isValid = typeof value === "string" && isUrl(value);
        addMistakeUnless(
            isValid,
            value,
            path,
            mistakes,
            "a URL that starts with http:// or https://, without a password",
        );
    },
    [RuleKind.Path]: ({ pattern }, value, path, mistakes) => {
        const isValid = typeof value === "string" && isPath(value, pattern);
        const expected = pattern
            ? "a path that starts with /, in which * matches one segment and a final ** any number of segments"
            : "a path that starts with /";
        addMistakeUnless(isValid, value, path, mistakes, expected);
    },
    [RuleKind.List]: ({ item, min, max, unique }, value, path, mistakes) => {
        if (!Array.isArray(value) || value.length < min || value.length > max) {
            return addMistakeUnless(false, value, path, mistakes, `an array of ${min} to ${max} entries`, {
                rule: item,
            });
        }
        const firstIndexes = new Map<unknown, number>();
        value.forEach((entry, index) => {
            checkValue(item, entry, [...path, index], mistakes);
            const first = unique ? (firstIndexes.get(entry) ?? index) : index;
            firstIndexes.set(entry, first);
            if (first < index) {
                mistakes.add([...path, index], `the value duplicates entry [${first}]`, "remove one of them");
            }
        });
    },
    [RuleKind.Map]: (rule, value, path, mistakes) => {
        const { value: valueRule, min, max } = rule;
        const size = isJsonObject(value) ? Object.keys(value).length : -1;
        if (!isJsonObject(value) || size < min || size > max) {
            return addMistakeUnless(
                false,
                value,
                path,
                mistakes,
                `an object with ${min} to ${max} named entries`,
                {
                    rule,
                },
            );
        }
        for (const [key, entry] of Object.entries(value)) {
            if (!isName(key)) {
                mistakes.add(
                    [...path, key],
                    `the name ${describeValue(key)} is invalid; expected ${nameDescription}`,
                );
            }
            checkValue(valueRule, entry, [...path, key], mistakes);
        }
    },
    [RuleKind.Group]: (rule, value, path, mistakes) => {
        const { required, optional } = rule;
        const rules = { ...required, ...optional };
        const names = Object.keys(rules);
        if (!isJsonObject(value)) {
            return addMistakeUnless(
                false,
                value,
                path,
                mistakes,
                `an object with the keys ${names.join(", ")}`,
                {
                    rule,
                },
            );
        }
        for (const [key, entry] of Object.entries(value)) {
            if (Object.hasOwn(rules, key)) {
                checkValue(rules[key] as Rule, entry, [...path, key], mistakes);
            } else {
                const closest = suggest(key, names);
                const nextStep = closest === undefined ? undefined : `did you mean "${closest}"?`;
                mistakes.add(
                    [...path, key],
                    `the key is unknown; allowed keys: ${names.join(", ")}`,
                    nextStep,
                );
            }
        }
        for (const key of Object.keys(required).filter(name => !Object.hasOwn(value, name))) {
            mistakes.add([...path, key], "the key is missing", "add it");
        }
    },
} satisfies { [K in RuleKind]: Checker<K> };

const nameDescription = `1 to ${maxNameLength} lowercase letters, digits and hyphens, starting with a letter`;
const namePattern = new RegExp(`^[a-z][a-z0-9-]{0,${maxNameLength - 1}}$`);

export function isName(text: string): boolean {
    return namePattern.test(text);
}

/** Returns whether a value is a JSON object, neither an array nor null. */
export function isJsonObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function addMistakeUnless(
    isValid: boolean,
    value: unknown,
    path: Path,
    mistakes: Mistakes,
    expected: string,
    details: { closest?: string | undefined; rule?: Rule } = {},
): void {
    if (!isValid) {
        const isHidden = details.rule !== undefined && mayHoldSecret(details.rule);
        const shown = isHidden ? "a hidden value" : describeValue(value);
        const nextStep = details.closest === undefined ? undefined : `did you mean "${details.closest}"?`;
        mistakes.add(path, `${shown} is invalid; expected ${expected}`, nextStep);
    }
}

/** Returns whether a value checked against the rule may contain a secret, so that messages must not show it. */
function mayHoldSecret(rule: Rule): boolean {
    return secretChecks[rule.kind](rule as never);
}

const secretChecks = {
    [RuleKind.Text]: () => false,
    [RuleKind.Secret]: () => true,
    [RuleKind.Name]: () => false,
    [RuleKind.Number]: () => false,
    [RuleKind.Flag]: () => false,
    [RuleKind.Choice]: () => false,
    [RuleKind.Endpoint]: () => false,
    [RuleKind.Url]: () => false,
    [RuleKind.Path]: () => false,
    [RuleKind.List]: rule => mayHoldSecret(rule.item),
    [RuleKind.Map]: rule => mayHoldSecret(rule.value),
    [RuleKind.Group]: rule => Object.values({ ...rule.required, ...rule.optional }).some(mayHoldSecret),
} satisfies { [K in RuleKind]: (rule: RuleByKind[K]) => boolean };

function isUrl(text: string): boolean {
    if (text.length > maxUrlLength || !URL.canParse(text)) {
        return false;
    }
    const url = new URL(text);
    return /^https?:$/.test(url.protocol) && url.username === "" && url.password === "";
}

function isPath(text: string, pattern: boolean): boolean {
    if (
        !text.startsWith("/") ||
        text.length > maxPathLength ||
        !/^[\x21-\x7e]*$/.test(text) ||
        /[?#]/.test(text)
    ) {
        return false;
    }
    const segments = text.slice(1).split("/");
    const isPlain = (segment: string) =>
        segment !== "" && segment !== "." && segment !== ".." && !segment.includes("*");
    return (
        text === "/" ||
        segments.every((segment, index) => {
            const isWildcard = segment === "*" || (segment === "**" && index === segments.length - 1);
            return (pattern && isWildcard) || isPlain(segment);
        })
    );
}
