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

const nameRule: Rule = { kind: RuleKind.Name };

function integerRule(min: number, max: number, unit: string): Rule {
    return { kind: RuleKind.Number, min, max, integer: true, unit };
}

const operationRule: Rule = {
    kind: RuleKind.Group,
    required: {
        name: nameRule,
        method: { kind: RuleKind.Choice, values: httpMethods },
        path: { kind: RuleKind.Path, pattern: true },
        repeatable: { kind: RuleKind.Flag },
    },
    optional: {
        deadlineMs: integerRule(1, maxDeadlineMs, "milliseconds"),
        maxBodyBytes: integerRule(0, maxOperationBodyBytes, "bytes"),
    },
};

const serviceRule: Rule = {
    kind: RuleKind.Group,
    required: {
        slots: integerRule(1, maxSlots, "slots"),
        connections: integerRule(1, maxConnections, "connections"),
        operations: { kind: RuleKind.List, item: operationRule, min: 1, max: maxOperations, unique: false },
    },
    optional: {
        drainSeconds: integerRule(0, maxDrainSeconds, "seconds"),
        coldStartMs: integerRule(0, maxColdStartMs, "milliseconds"),
        healthPath: { kind: RuleKind.Path, pattern: false },
    },
};

const partnerRule: Rule = {
    kind: RuleKind.Group,
    required: {},
    optional: { share: { kind: RuleKind.Number, min: minShare, max: maxShare, integer: false, unit: "" } },
};

const callerRule: Rule = {
    kind: RuleKind.Group,
    required: { mayCall: { kind: RuleKind.List, item: nameRule, min: 1, max: maxServices, unique: true } },
    optional: { partner: nameRule, service: nameRule },
};

const routeRule: Rule = {
    kind: RuleKind.Group,
    required: {
        hostName: { kind: RuleKind.Text, min: 1, max: maxHostNameLength },
        prefix: { kind: RuleKind.Text, min: 1, max: maxPrefixLength },
        destinations: {
            kind: RuleKind.Map,
            value: integerRule(0, maxWeight, ""),
            min: 1,
            max: maxDestinations,
        },
        repetition: { kind: RuleKind.Choice, values: Object.values(Repetition) },
    },
    optional: {
        maxAttempts: integerRule(1, maxRouteAttempts, "backend servers"),
        timeoutMs: integerRule(1, maxDeadlineMs, "milliseconds"),
        latencyObjectiveMs: integerRule(1, maxDurationMs, "milliseconds"),
        priority: integerRule(0, maxPriority, ""),
    },
};

const limitsRule: Rule = {
    kind: RuleKind.Group,
    required: {},
    optional: {
        maxHeaderBytes: integerRule(1, defaultLimits.maxHeaderBytes, "bytes"),
        maxBodyBytes: integerRule(0, maxOperationBodyBytes, "bytes"),
        headerTimeoutMs: integerRule(1, maxDurationMs, "milliseconds"),
        idleTimeoutMs: integerRule(1, maxDurationMs, "milliseconds"),
    },
};

/** Rule for the answers file, without the checks of references between its entries. */
export const answersRule: Rule = {
    kind: RuleKind.Group,
    required: {
        deployment: nameRule,
        services: { kind: RuleKind.Map, value: serviceRule, min: 1, max: maxServices },
        callers: { kind: RuleKind.Map, value: callerRule, min: 0, max: maxCallers },
    },
    optional: {
        partners: { kind: RuleKind.Map, value: partnerRule, min: 0, max: maxPartners },
        routes: { kind: RuleKind.Map, value: routeRule, min: 0, max: maxRoutes },
        limits: limitsRule,
    },
};
