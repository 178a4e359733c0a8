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
    leastLinkMbps,
    maxHostNameLength,
    maxLinkMbps,
    maxPeers,
    maxRetryBurst,
    maxSecretLength,
    maxSecrets,
    maxSettingMs,
    minSecretLength,
} from "./constants.js";
import { Spread, TraceExporter, type Settings } from "./settings.js";

export const LogLevel = { Debug: "debug", Info: "info", Warn: "warn", Error: "error" } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

const label: Rule = { kind: RuleKind.Text, min: 1, max: maxHostNameLength };
const endpoint: Rule = { kind: RuleKind.Endpoint };
const url: Rule = { kind: RuleKind.Url };
const secret: Rule = { kind: RuleKind.Secret, min: minSecretLength, max: maxSecretLength };
const secrets: Rule = { kind: RuleKind.List, item: secret, min: 1, max: maxSecrets, unique: true };

const milliseconds: Rule = {
    kind: RuleKind.Number,
    min: 0,
    max: maxSettingMs,
    integer: true,
    unit: "milliseconds",
};

const wait: Rule = {
    kind: RuleKind.Number,
    min: 0,
    max: maxSettingMs,
    integer: false,
    unit: "milliseconds",
};
const distance: Rule = {
    kind: RuleKind.Group,
    required: {},
    optional: { ms: wait, msPerKilobyte: wait },
};

const settingsRule: RuleByKind["group"] = {
    kind: RuleKind.Group,
    required: {
        host: label,
        failureDomain: label,
        region: label,
        listen: {
            kind: RuleKind.Group,
            required: { calls: endpoint, peer: endpoint, admin: endpoint },
            optional: {},
        },
        platform: {
            kind: RuleKind.Group,
            required: { url },
            optional: { watchMs: milliseconds, patienceMs: milliseconds },
        },
        keys: {
            kind: RuleKind.Group,
            required: { operator: secrets, backendServer: secrets, peer: secrets },
            optional: {},
        },
    },
    optional: {
        advertise: { kind: RuleKind.Group, required: {}, optional: { peer: endpoint } },
        peers: { kind: RuleKind.List, item: endpoint, min: 0, max: maxPeers, unique: true },
        spread: { kind: RuleKind.Choice, values: Object.values(Spread) },
        linkMbps: {
            kind: RuleKind.Number,
            min: leastLinkMbps,
            max: maxLinkMbps,
            integer: false,
            unit: "Mbit/s",
        },
        outsideCallers: { kind: RuleKind.Flag },
        trustedNetwork: { kind: RuleKind.Flag },
        distances: {
            kind: RuleKind.Group,
            required: {},
            optional: Object.fromEntries(Object.values(Tier).map(tier => [tier, distance])),
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
            optional: { lingerMs: milliseconds, graceMs: milliseconds },
        },
        log: {
            kind: RuleKind.Group,
            required: {},
            optional: { level: { kind: RuleKind.Choice, values: Object.values(LogLevel) } },
        },
        traces: {
            kind: RuleKind.Group,
            required: {},
            optional: { exporter: { kind: RuleKind.Choice, values: Object.values(TraceExporter) }, url },
        },
    },
};

const { keys, ...alwaysRequired } = settingsRule.required;

/** In a trusted network the keys may be left out. */
const trustedRule: Rule = {
    ...settingsRule,
    required: alwaysRequired,
    optional: { ...settingsRule.optional, ...(keys === undefined ? {} : { keys }) },
};

/**
 * Reads settings from JSON with comments and lists every mistake. No message repeats a token or key.
 *
 * @example
 * ```ts
 * readSettings(text).map(resolveSettings);
 * ```
 */
export function readSettings(text: string): Either<readonly Problem[], Settings> {
    return parseText(text).chain(checkSettings);
}

/** Checks parsed settings and lists every mistake. */
export function checkSettings(settings: unknown): Either<readonly Problem[], Settings> {
    const mistakes = createMistakes(ProblemCode.InvalidSetting);
    const trusted = isJsonObject(settings) && settings["trustedNetwork"] === true;
    checkValue(trusted ? trustedRule : settingsRule, settings, [], mistakes);
    if (isJsonObject(settings)) {
        checkListeners(settings["listen"], mistakes);
        checkSharedSecrets(settings["keys"], mistakes);
        checkTraces(settings["traces"], mistakes);
    }
    const found = mistakes.list();
    return found.length > 0 ? Left(found) : Right(settings as unknown as Settings);
}

function checkListeners(listen: unknown, mistakes: Mistakes): void {
    const seen = new Map<unknown, string>();
    for (const [name, value] of isJsonObject(listen) ? Object.entries(listen) : []) {
        const other = seen.get(value);
        if (other !== undefined) {
            const message = `${describeValue(value)} is used by listen.${other} too`;
            mistakes.add(["listen", name], message, "give each listener its own port");
        }
        seen.set(value, name);
    }
}

/** A token with two purposes would let a backend server act as an operator. */
function checkSharedSecrets(keys: unknown, mistakes: Mistakes): void {
    const seen = new Map<unknown, string>();
    for (const [purpose, list] of isJsonObject(keys) ? Object.entries(keys) : []) {
        for (const [index, value] of Array.isArray(list) ? list.entries() : []) {
            const other = seen.get(value);
            if (other !== undefined && other !== purpose) {
                const message = `the hidden value is used by keys.${other} too`;
                mistakes.add(["keys", purpose, index], message, "create a separate one for each purpose");
            }
            seen.set(value, purpose);
        }
    }
}

function checkTraces(traces: unknown, mistakes: Mistakes): void {
    if (isJsonObject(traces) && traces["exporter"] === TraceExporter.Otlp && traces["url"] === undefined) {
        mistakes.add(["traces", "url"], 'the key is missing; the exporter "otlp" needs it', "add it");
    }
}
