import { maxNameLength, maxPathLength, maxPort, maxUrlLength } from "./constants.js";
import { isEndpoint } from "./endpoint.js";
import { describeValue, type Mistakes, type Path } from "./mistakes.js";
import { RuleKind, type Rule, type RuleByKind } from "./rule.js";
import { suggest } from "./suggest.js";

/** Adds a mistake for each place at which the value breaks the rule. */
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
        const holds = typeof value === "string" && value.length >= min && value.length <= max;
        expect(holds, value, path, mistakes, `a text of ${min} to ${max} characters`);
    },
    [RuleKind.Secret]: ({ min, max }, value, path, mistakes) => {
        const length = typeof value === "string" ? value.length : undefined;
        if (length === undefined) {
            mistakes.add(
                path,
                `a hidden value is not allowed; allowed is a text of ${min} to ${max} characters`,
            );
        } else if (length < min || length > max) {
            const allowed = `allowed is a text of ${min} to ${max} characters`;
            mistakes.add(path, `a hidden value of ${length} characters is not allowed; ${allowed}`);
        } else if (!/^[\x21-\x7e]+$/.test(value as string)) {
            mistakes.add(
                path,
                "a hidden value is not allowed; allowed are printable ASCII characters without spaces",
            );
        }
    },
    [RuleKind.Name]: (_rule, value, path, mistakes) =>
        expect(typeof value === "string" && isName(value), value, path, mistakes, nameAllowed),
    [RuleKind.Number]: ({ min, max, integer, unit }, value, path, mistakes) => {
        const holds =
            typeof value === "number" &&
            value >= min &&
            value <= max &&
            (!integer || Number.isInteger(value));
        const range = `${integer ? "a whole number" : "a number"} from ${min} to ${max}`;
        expect(holds, value, path, mistakes, unit === "" ? range : `${range} ${unit}`);
    },
    [RuleKind.Flag]: (_rule, value, path, mistakes) =>
        expect(typeof value === "boolean", value, path, mistakes, "true or false"),
    [RuleKind.Choice]: ({ values }, value, path, mistakes) => {
        const holds = typeof value === "string" && values.includes(value);
        const closest = typeof value === "string" && !holds ? suggest(value, values) : undefined;
        expect(holds, value, path, mistakes, `one of ${values.join(", ")}`, { closest });
    },
    [RuleKind.Endpoint]: (_rule, value, path, mistakes) => {
        const holds = typeof value === "string" && isEndpoint(value);
        expect(
            holds,
            value,
            path,
            mistakes,
            `address:port with an IP number and a port from 1 to ${maxPort}`,
        );
    },
    [RuleKind.Url]: (_rule, value, path, mistakes) => {
        const holds = typeof value === "string" && isUrl(value);
        expect(
            holds,
            value,
            path,
            mistakes,
            "a URL that starts with http:// or https://, without a password",
        );
    },
    [RuleKind.Path]: ({ pattern }, value, path, mistakes) => {
        const holds = typeof value === "string" && isPath(value, pattern);
        const allowed = pattern
            ? "a path that starts with /, in which * stands for one segment and a final ** for any rest"
            : "a path that starts with /";
        expect(holds, value, path, mistakes, allowed);
    },
    [RuleKind.List]: ({ item, min, max, unique }, value, path, mistakes) => {
        if (!Array.isArray(value) || value.length < min || value.length > max) {
            return expect(false, value, path, mistakes, `a list of ${min} to ${max} entries`, { rule: item });
        }
        const firstIndexes = new Map<unknown, number>();
        value.forEach((entry, index) => {
            checkValue(item, entry, [...path, index], mistakes);
            const first = unique ? (firstIndexes.get(entry) ?? index) : index;
            firstIndexes.set(entry, first);
            if (first < index) {
                mistakes.add([...path, index], `the value repeats entry [${first}]`, "remove one of them");
            }
        });
    },
    [RuleKind.Map]: (rule, value, path, mistakes) => {
        const { value: valueRule, min, max } = rule;
        const size = isGroup(value) ? Object.keys(value).length : -1;
        if (!isGroup(value) || size < min || size > max) {
            return expect(false, value, path, mistakes, `a group of ${min} to ${max} named entries`, {
                rule,
            });
        }
        for (const [key, entry] of Object.entries(value)) {
            if (!isName(key)) {
                mistakes.add(
                    [...path, key],
                    `the name ${describeValue(key)} is not allowed; allowed is ${nameAllowed}`,
                );
            }
            checkValue(valueRule, entry, [...path, key], mistakes);
        }
    },
    [RuleKind.Group]: (rule, value, path, mistakes) => {
        const { required, optional } = rule;
        const known = { ...required, ...optional };
        const names = Object.keys(known);
        if (!isGroup(value)) {
            return expect(false, value, path, mistakes, `a group with the keys ${names.join(", ")}`, {
                rule,
            });
        }
        for (const [key, entry] of Object.entries(value)) {
            if (Object.hasOwn(known, key)) {
                checkValue(known[key] as Rule, entry, [...path, key], mistakes);
            } else {
                const closest = suggest(key, names);
                const next = closest === undefined ? undefined : `did you mean "${closest}"?`;
                mistakes.add([...path, key], `the key is unknown; allowed are ${names.join(", ")}`, next);
            }
        }
        for (const key of Object.keys(required).filter(name => !Object.hasOwn(value, name))) {
            mistakes.add([...path, key], "the key is missing", "add it");
        }
    },
} satisfies { [K in RuleKind]: Checker<K> };

const nameAllowed = `1 to ${maxNameLength} small letters, digits and hyphens, starting with a letter`;
const namePattern = new RegExp(`^[a-z][a-z0-9-]{0,${maxNameLength - 1}}$`);

export function isName(text: string): boolean {
    return namePattern.test(text);
}

/** Whether a value is a JSON object. */
export function isGroup(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function expect(
    holds: boolean,
    value: unknown,
    path: Path,
    mistakes: Mistakes,
    allowed: string,
    details: { closest?: string | undefined; rule?: Rule } = {},
): void {
    if (!holds) {
        const hidden = details.rule !== undefined && holdsSecret(details.rule);
        const shown = hidden ? "a hidden value" : describeValue(value);
        const next = details.closest === undefined ? undefined : `did you mean "${details.closest}"?`;
        mistakes.add(path, `${shown} is not allowed; allowed is ${allowed}`, next);
    }
}

/** Whether a value in the place of the rule's value could be a misplaced secret. */
function holdsSecret(rule: Rule): boolean {
    return secretFinders[rule.kind](rule as never);
}

const secretFinders = {
    [RuleKind.Text]: () => false,
    [RuleKind.Secret]: () => true,
    [RuleKind.Name]: () => false,
    [RuleKind.Number]: () => false,
    [RuleKind.Flag]: () => false,
    [RuleKind.Choice]: () => false,
    [RuleKind.Endpoint]: () => false,
    [RuleKind.Url]: () => false,
    [RuleKind.Path]: () => false,
    [RuleKind.List]: rule => holdsSecret(rule.item),
    [RuleKind.Map]: rule => holdsSecret(rule.value),
    [RuleKind.Group]: rule => Object.values({ ...rule.required, ...rule.optional }).some(holdsSecret),
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
    const plain = (segment: string) =>
        segment !== "" && segment !== "." && segment !== ".." && !segment.includes("*");
    return (
        text === "/" ||
        segments.every((segment, index) => {
            const wildcard = segment === "*" || (segment === "**" && index === segments.length - 1);
            return (pattern && wildcard) || plain(segment);
        })
    );
}
