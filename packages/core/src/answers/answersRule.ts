import { maxDeadlineMs } from "../calls/deadline.js";
import { RuleKind, type Rule } from "../checking/rule.js";
import { Repetition } from "../configuration/resource.js";
import { defaultLimits } from "../constants.js";
import {
    maxCallers,
    maxColdStartMs,
    maxConnections,
    maxDestinations,
    maxDrainSeconds,
    maxDurationMs,
    maxHostNameLength,
    maxOperationBodyBytes,
    maxOperations,
    maxPartners,
    maxPrefixLength,
    maxPriority,
    maxRouteAttempts,
    maxRoutes,
    maxServices,
    maxShare,
    maxSlots,
    maxWeight,
    minShare,
} from "./constants.js";

const httpMethods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

const name: Rule = { kind: RuleKind.Name };

function whole(min: number, max: number, unit: string): Rule {
    return { kind: RuleKind.Number, min, max, integer: true, unit };
}

const operation: Rule = {
    kind: RuleKind.Group,
    required: {
        name,
        method: { kind: RuleKind.Choice, values: httpMethods },
        path: { kind: RuleKind.Path, pattern: true },
        repeatable: { kind: RuleKind.Flag },
    },
    optional: {
        deadlineMs: whole(1, maxDeadlineMs, "milliseconds"),
        maxBodyBytes: whole(0, maxOperationBodyBytes, "bytes"),
    },
};

const service: Rule = {
    kind: RuleKind.Group,
    required: {
        slots: whole(1, maxSlots, "slots"),
        connections: whole(1, maxConnections, "connections"),
        operations: { kind: RuleKind.List, item: operation, min: 1, max: maxOperations, unique: false },
    },
    optional: {
        drainSeconds: whole(0, maxDrainSeconds, "seconds"),
        coldStartMs: whole(0, maxColdStartMs, "milliseconds"),
        healthPath: { kind: RuleKind.Path, pattern: false },
    },
};

const partner: Rule = {
    kind: RuleKind.Group,
    required: {},
    optional: { share: { kind: RuleKind.Number, min: minShare, max: maxShare, integer: false, unit: "" } },
};

const caller: Rule = {
    kind: RuleKind.Group,
    required: { mayCall: { kind: RuleKind.List, item: name, min: 1, max: maxServices, unique: true } },
    optional: { partner: name, service: name },
};

const route: Rule = {
    kind: RuleKind.Group,
    required: {
        hostName: { kind: RuleKind.Text, min: 1, max: maxHostNameLength },
        prefix: { kind: RuleKind.Text, min: 1, max: maxPrefixLength },
        destinations: {
            kind: RuleKind.Map,
            value: whole(0, maxWeight, ""),
            min: 1,
            max: maxDestinations,
        },
        repetition: { kind: RuleKind.Choice, values: Object.values(Repetition) },
    },
    optional: {
        maxAttempts: whole(1, maxRouteAttempts, "backend servers"),
        timeoutMs: whole(1, maxDeadlineMs, "milliseconds"),
        latencyObjectiveMs: whole(1, maxDurationMs, "milliseconds"),
        priority: whole(0, maxPriority, ""),
    },
};

const limits: Rule = {
    kind: RuleKind.Group,
    required: {},
    optional: {
        maxHeaderBytes: whole(1, defaultLimits.maxHeaderBytes, "bytes"),
        maxBodyBytes: whole(0, maxOperationBodyBytes, "bytes"),
        headerTimeoutMs: whole(1, maxDurationMs, "milliseconds"),
        idleTimeoutMs: whole(1, maxDurationMs, "milliseconds"),
    },
};

/** What a filled-in questionnaire may contain, apart from its references. */
export const answersRule: Rule = {
    kind: RuleKind.Group,
    required: {
        deployment: name,
        services: { kind: RuleKind.Map, value: service, min: 1, max: maxServices },
        callers: { kind: RuleKind.Map, value: caller, min: 0, max: maxCallers },
    },
    optional: {
        partners: { kind: RuleKind.Map, value: partner, min: 0, max: maxPartners },
        routes: { kind: RuleKind.Map, value: route, min: 0, max: maxRoutes },
        limits,
    },
};
