import { Left, Right, type Either } from "purify-ts/Either";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { Repetition, ResourceKind, resourceName, type Resource, type ResourceName } from "./resource.js";

type Check = (value: unknown) => boolean;

const isNonEmptyString: Check = value => typeof value === "string" && value.length > 0;
const isBoolean: Check = value => typeof value === "boolean";
const isNonNegativeInteger: Check = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isPositiveNumber: Check = value => typeof value === "number" && Number.isFinite(value) && value > 0;
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
const hasFields =
    (fields: Readonly<Record<string, Check>>): Check =>
    value =>
        findInvalidField(value, fields) === undefined;

const operationFields = {
    name: isNonEmptyString,
    method: isNonEmptyString,
    path: isNonEmptyString,
    repeatable: isBoolean,
    deadlineMs: isNonNegativeInteger,
    maxBodyBytes: isNonNegativeInteger,
};

const fieldsByKind = {
    [ResourceKind.Route]: {
        name: isNonEmptyString,
        service: isReference(ResourceKind.Service),
        callers: isListOf(isReference(ResourceKind.Caller)),
        operations: isListOf(hasFields(operationFields)),
    },
    [ResourceKind.Service]: {
        name: isNonEmptyString,
        slots: isNonNegativeInteger,
        connections: isNonNegativeInteger,
        drainMs: isNonNegativeInteger,
        coldStartMs: isNonNegativeInteger,
        healthPath: isOptional(isNonEmptyString),
    },
    [ResourceKind.Caller]: { name: isNonEmptyString, partner: isReference(ResourceKind.Partner) },
    [ResourceKind.Partner]: { name: isNonEmptyString, share: isPositiveNumber },
    [ResourceKind.PathRoute]: {
        name: isNonEmptyString,
        hostName: isNonEmptyString,
        prefix: isNonEmptyString,
        destinations: isListOf(
            hasFields({ service: isReference(ResourceKind.Service), weight: isNonNegativeInteger }),
        ),
        repetition: isOneOf(Object.values(Repetition)),
        maxAttempts: isNonNegativeInteger,
        timeoutMs: isNonNegativeInteger,
        latencyObjectiveMs: isNonNegativeInteger,
        priority: isNonNegativeInteger,
    },
    [ResourceKind.Limits]: {
        name: isNonEmptyString,
        maxHeaderBytes: isNonNegativeInteger,
        maxBodyBytes: isNonNegativeInteger,
        headerTimeoutMs: isNonNegativeInteger,
        idleTimeoutMs: isNonNegativeInteger,
    },
} satisfies Record<ResourceKind, Readonly<Record<string, Check>>>;

/**
 * Decodes the bytes of a part and checks that they are the resource of the given name.
 *
 * @returns the resource, or a problem of code `malformedResource`.
 */
export function decodeResource(name: ResourceName, bytes: Uint8Array): Either<Problem, Resource> {
    const value = parseJson(bytes);
    const kind = (value as { kind?: unknown } | undefined)?.kind;
    if (typeof kind !== "string" || !Object.hasOwn(fieldsByKind, kind)) {
        return malformedResource(
            name,
            `kind ${JSON.stringify(kind)} is unknown or the part is not a JSON object`,
        );
    }
    const invalidField = findInvalidField(value, fieldsByKind[kind as ResourceKind]);
    if (invalidField !== undefined) {
        return malformedResource(
            name,
            `field "${invalidField}" of kind "${kind}" is missing or of the wrong type`,
        );
    }
    const resource = value as Resource;
    const ownName = resourceName(resource.kind, resource.name);
    return ownName === name
        ? Right(resource)
        : malformedResource(name, `the part holds resource "${ownName}"`);
}

function findInvalidField(value: unknown, fields: Readonly<Record<string, Check>>): string | undefined {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return "";
    }
    const record = value as Readonly<Record<string, unknown>>;
    return Object.keys(fields).find(name => fields[name]?.(record[name]) !== true);
}

function malformedResource(name: ResourceName, detail: string): Either<Problem, Resource> {
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

const isManifestEntry = hasFields({
    hash: isNonEmptyString,
    references: isListOf(isNonEmptyString),
    neededBy: isListOf(isNonEmptyString),
});

/** Cache of valid entries: consecutive versions share most of their entries. */
const validEntries = new WeakSet<object>();

function isValidEntry(value: unknown): boolean {
    if (validEntries.has(value as object)) {
        return true;
    }
    const isValid = isManifestEntry(value);
    if (isValid) {
        validEntries.add(value as object);
    }
    return isValid;
}

/** Whether a decoded value has the structure of a manifest. */
export function isManifest(value: unknown): boolean {
    const areValidEntries: Check = entries =>
        typeof entries === "object" && entries !== null && Object.values(entries).every(isValidEntry);
    return hasFields({ version: isNonNegativeInteger, entries: areValidEntries })(value);
}
