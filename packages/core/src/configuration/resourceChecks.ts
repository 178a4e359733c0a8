import { Left, Right, type Either } from "purify-ts/Either";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { Repetition, ResourceKind, resourceName, type Resource, type ResourceName } from "./resource.js";

type Check = (value: unknown) => boolean;

const isText: Check = value => typeof value === "string" && value.length > 0;
const isFlag: Check = value => typeof value === "boolean";
const isCount: Check = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isWeight: Check = value => typeof value === "number" && Number.isFinite(value) && value > 0;
const isReference =
    (kind: ResourceKind): Check =>
    value =>
        typeof value === "string" && value.startsWith(`${kind}/`) && value.length > kind.length + 1;
const isListOf =
    (check: Check): Check =>
    value =>
        Array.isArray(value) && value.every(check);
const isOneOf =
    (values: readonly unknown[]): Check =>
    value =>
        values.includes(value);
const isOptional =
    (check: Check): Check =>
    value =>
        value === undefined || check(value);
const isShape =
    (fields: Readonly<Record<string, Check>>): Check =>
    value =>
        findWrongField(value, fields) === undefined;

const operationFields = {
    name: isText,
    method: isText,
    path: isText,
    repeatable: isFlag,
    deadlineMs: isCount,
    maxBodyBytes: isCount,
};

const fieldsByKind = {
    [ResourceKind.Route]: {
        name: isText,
        service: isReference(ResourceKind.Service),
        callers: isListOf(isReference(ResourceKind.Caller)),
        operations: isListOf(isShape(operationFields)),
    },
    [ResourceKind.Service]: {
        name: isText,
        slots: isCount,
        connections: isCount,
        drainMs: isCount,
        coldStartMs: isCount,
        healthPath: isOptional(isText),
    },
    [ResourceKind.Caller]: { name: isText, partner: isReference(ResourceKind.Partner) },
    [ResourceKind.Partner]: { name: isText, share: isWeight },
    [ResourceKind.PathRoute]: {
        name: isText,
        hostName: isText,
        prefix: isText,
        destinations: isListOf(isShape({ service: isReference(ResourceKind.Service), weight: isCount })),
        repetition: isOneOf(Object.values(Repetition)),
        maxAttempts: isCount,
        timeoutMs: isCount,
        latencyObjectiveMs: isCount,
        priority: isCount,
    },
    [ResourceKind.Limits]: {
        name: isText,
        maxHeaderBytes: isCount,
        maxBodyBytes: isCount,
        headerTimeoutMs: isCount,
        idleTimeoutMs: isCount,
    },
} satisfies Record<ResourceKind, Readonly<Record<string, Check>>>;

/**
 * Decodes the bytes of a part as the resource of the given name.
 *
 * @returns the resource, or a problem of code `malformedResource`.
 */
export function readResource(name: ResourceName, bytes: Uint8Array): Either<Problem, Resource> {
    const value = parseJson(bytes);
    const kind = (value as { kind?: unknown } | undefined)?.kind;
    if (typeof kind !== "string" || !Object.hasOwn(fieldsByKind, kind)) {
        return malformed(name, `kind ${JSON.stringify(kind)} is unknown or the part is not a JSON object`);
    }
    const wrong = findWrongField(value, fieldsByKind[kind as ResourceKind]);
    if (wrong !== undefined) {
        return malformed(name, `field "${wrong}" of kind "${kind}" is missing or of the wrong type`);
    }
    const resource = value as Resource;
    const ownName = resourceName(resource.kind, resource.name);
    return ownName === name ? Right(resource) : malformed(name, `the part holds resource "${ownName}"`);
}

function findWrongField(value: unknown, fields: Readonly<Record<string, Check>>): string | undefined {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return "";
    }
    const record = value as Readonly<Record<string, unknown>>;
    return Object.keys(fields).find(name => fields[name]?.(record[name]) !== true);
}

function malformed(name: ResourceName, detail: string): Either<Problem, Resource> {
    return Left(problem(ProblemCode.MalformedResource, `resource "${name}" is malformed: ${detail}`));
}

/** Returns `undefined` for bytes that are not JSON. */
export function parseJson(bytes: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(bytes).toString("utf8"));
    } catch {
        return undefined;
    }
}

const isEntry = isShape({ hash: isText, references: isListOf(isText), neededBy: isListOf(isText) });

/** Entries that were found well formed; successive versions share all but a few of them. */
const checkedEntries = new WeakSet<object>();

function isCheckedEntry(value: unknown): boolean {
    if (checkedEntries.has(value as object)) {
        return true;
    }
    const isWellFormed = isEntry(value);
    if (isWellFormed) {
        checkedEntries.add(value as object);
    }
    return isWellFormed;
}

/** Whether a decoded value has the shape of a manifest. */
export function isManifest(value: unknown): boolean {
    const isEntries: Check = entries =>
        typeof entries === "object" && entries !== null && Object.values(entries).every(isCheckedEntry);
    return isShape({ version: isCount, entries: isEntries })(value);
}
