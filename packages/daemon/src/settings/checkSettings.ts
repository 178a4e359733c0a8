import {
    checkValue,
    createMistakes,
    describeValue,
    isJsonObject,
    parseText,
    ProblemCode,
    RuleKind,
    Tier,
    type Mistakes,
    type Problem,
    type Rule,
    type RuleByKind,
} from "@tanagertray/core";
import { Left, Right, type Either } from "purify-ts/Either";
import {
    maxHostNameLength,
    maxLinkMbps,
    maxPeers,
    maxRetryBurst,
    maxSecretLength,
    maxSecrets,
    maxSettingMs,
    minFreshnessMs,
    minLinkMbps,
    minSecretLength,
} from "./constants.js";
import { Spread, TraceExporter, type Settings } from "./settings.js";

export const LogLevel = { Debug: "debug", Info: "info", Warn: "warn", Error: "error" } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

const nameRule: Rule = { kind: RuleKind.Text, min: 1, max: maxHostNameLength };
const endpointRule: Rule = { kind: RuleKind.Endpoint };
const urlRule: Rule = { kind: RuleKind.Url };
const secretRule: Rule = { kind: RuleKind.Secret, min: minSecretLength, max: maxSecretLength };
const secretListRule: Rule = { kind: RuleKind.List, item: secretRule, min: 1, max: maxSecrets, unique: true };

const wholeMsRule: Rule = {
    kind: RuleKind.Number,
    min: 0,
    max: maxSettingMs,
    integer: true,
    unit: "milliseconds",
};

const freshnessRule: Rule = { ...wholeMsRule, min: minFreshnessMs };

const fractionalMsRule: Rule = {
    kind: RuleKind.Number,
    min: 0,
    max: maxSettingMs,
    integer: false,
    unit: "milliseconds",
};
const distanceRule: Rule = {
    kind: RuleKind.Group,
    required: {},
    optional: { ms: fractionalMsRule, msPerKilobyte: fractionalMsRule },
};

const settingsRule: RuleByKind["group"] = {
    kind: RuleKind.Group,
    required: {
        host: nameRule,
        failureDomain: nameRule,
        region: nameRule,
        listen: {
            kind: RuleKind.Group,
            required: { calls: endpointRule, peer: endpointRule, admin: endpointRule },
            optional: {},
        },
        platform: {
            kind: RuleKind.Group,
            required: { url: urlRule },
            optional: { watchMs: wholeMsRule, freshnessMs: freshnessRule, patienceMs: wholeMsRule },
        },
        keys: {
            kind: RuleKind.Group,
            required: { operator: secretListRule, backendServer: secretListRule, peer: secretListRule },
            optional: {},
        },
    },
    optional: {
        advertise: { kind: RuleKind.Group, required: {}, optional: { peer: endpointRule } },
        peers: { kind: RuleKind.List, item: endpointRule, min: 0, max: maxPeers, unique: true },
        spread: { kind: RuleKind.Choice, values: Object.values(Spread) },
        linkMbps: {
            kind: RuleKind.Number,
            min: minLinkMbps,
            max: maxLinkMbps,
            integer: false,
            unit: "Mbit/s",
        },
        outsideCallers: { kind: RuleKind.Flag },
        trustedNetwork: { kind: RuleKind.Flag },
        distances: {
            kind: RuleKind.Group,
            required: {},
            optional: Object.fromEntries(Object.values(Tier).map(tier => [tier, distanceRule])),
        },
        retries: {
            kind: RuleKind.Group,
            required: {},
            optional: {
                ratio: { kind: RuleKind.Number, min: 0, max: 1, integer: false, unit: "" },
                burst: { kind: RuleKind.Number, min: 0, max: maxRetryBurst, integer: false, unit: "retries" },
            },
        },
        shutdown: {
            kind: RuleKind.Group,
            required: {},
            optional: { lingerMs: wholeMsRule, graceMs: wholeMsRule },
        },
        log: {
            kind: RuleKind.Group,
            required: {},
            optional: { level: { kind: RuleKind.Choice, values: Object.values(LogLevel) } },
        },
        traces: {
            kind: RuleKind.Group,
            required: {},
            optional: {
                exporter: { kind: RuleKind.Choice, values: Object.values(TraceExporter) },
                url: urlRule,
            },
        },
    },
};

const { keys, ...alwaysRequired } = settingsRule.required;

/** The same rule with optional keys, for a trusted network. */
const trustedNetworkRule: Rule = {
    ...settingsRule,
    required: alwaysRequired,
    optional: { ...settingsRule.optional, ...(keys === undefined ? {} : { keys }) },
};

/**
 * Parses settings from JSON with comments and validates them. Returns every mistake. No message contains a token or
 * key.
 *
 * @example
 * ```ts
 * readSettings(text).map(resolveSettings);
 * ```
 */
export function readSettings(text: string): Either<readonly Problem[], Settings> {
    return parseText(text).chain(checkSettings);
}

/** Validates parsed settings and returns every mistake. */
export function checkSettings(settings: unknown): Either<readonly Problem[], Settings> {
    const mistakes = createMistakes(ProblemCode.InvalidSetting);
    const isTrusted = isJsonObject(settings) && settings["trustedNetwork"] === true;
    checkValue(isTrusted ? trustedNetworkRule : settingsRule, settings, [], mistakes);
    if (isJsonObject(settings)) {
        checkListeners(settings["listen"], mistakes);
        checkSharedSecrets(settings["keys"], mistakes);
        checkTraces(settings["traces"], mistakes);
    }
    const found = mistakes.list();
    return found.length > 0 ? Left(found) : Right(settings as unknown as Settings);
}

function checkListeners(listen: unknown, mistakes: Mistakes): void {
    const usedBy = new Map<unknown, string>();
    for (const [name, value] of isJsonObject(listen) ? Object.entries(listen) : []) {
        const otherName = usedBy.get(value);
        if (otherName !== undefined) {
            const message = `${describeValue(value)} is used by listen.${otherName} too`;
            mistakes.add(["listen", name], message, "give each listener its own port");
        }
        usedBy.set(value, name);
    }
}

/** Rejects a secret shared by two purposes, which would let a backend server act as an operator, for example. */
function checkSharedSecrets(keys: unknown, mistakes: Mistakes): void {
    const usedBy = new Map<unknown, string>();
    for (const [purpose, list] of isJsonObject(keys) ? Object.entries(keys) : []) {
        for (const [index, value] of Array.isArray(list) ? list.entries() : []) {
            const otherPurpose = usedBy.get(value);
            if (otherPurpose !== undefined && otherPurpose !== purpose) {
                const message = `the hidden value is used by keys.${otherPurpose} too`;
                mistakes.add(["keys", purpose, index], message, "create a separate one for each purpose");
            }
            usedBy.set(value, purpose);
        }
    }
}

function checkTraces(traces: unknown, mistakes: Mistakes): void {
    if (isJsonObject(traces) && traces["exporter"] === TraceExporter.Otlp && traces["url"] === undefined) {
        mistakes.add(["traces", "url"], 'the key is missing; the exporter "otlp" needs it', "add it");
    }
}
