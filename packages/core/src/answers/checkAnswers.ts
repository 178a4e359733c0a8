import { Left, Right, type Either } from "purify-ts/Either";
import { checkValue, isJsonObject } from "../checking/checkValue.js";
import { parseText } from "../checking/parseText.js";
import { createMistakes, describeValue, type Mistakes, type Path } from "../checking/mistakes.js";
import { suggest } from "../checking/suggest.js";
import { internalPartner } from "../constants.js";
import { ProblemCode, type Problem } from "../problem.js";
import type { Answers } from "./answers.js";
import { answersRule } from "./answersRule.js";
import { pathsOverlap } from "./pathOverlap.js";

/**
 * Parses answers from JSON with comments and returns every mistake found.
 *
 * @example
 * ```ts
 * readAnswers(text).caseOf({
 *     Left: mistakes => mistakes.forEach(mistake => console.error(formatMistake(mistake))),
 *     Right: answers => submit(answers),
 * });
 * ```
 */
export function readAnswers(text: string): Either<readonly Problem[], Answers> {
    return parseText(text).chain(checkAnswers);
}

/** Validates parsed answers and returns every mistake found. */
export function checkAnswers(answers: unknown): Either<readonly Problem[], Answers> {
    const mistakes = createMistakes(ProblemCode.InvalidAnswer);
    checkValue(answersRule, answers, [], mistakes);
    if (isJsonObject(answers)) {
        checkServices(answers, mistakes);
        checkPartners(answers, mistakes);
        checkCallers(answers, mistakes);
        checkRoutes(answers, mistakes);
    }
    const problems = mistakes.list();
    return problems.length > 0 ? Left(problems) : Right(answers as unknown as Answers);
}

function checkServices(answers: Record<string, unknown>, mistakes: Mistakes): void {
    for (const [name, service] of Object.entries(objectAt(answers, "services"))) {
        const operations = isJsonObject(service) ? service["operations"] : undefined;
        if (Array.isArray(operations)) {
            checkOperations(operations, ["services", name, "operations"], mistakes);
        }
    }
}

function checkOperations(operations: readonly unknown[], path: Path, mistakes: Mistakes): void {
    const previousOperations: { index: number; name: unknown; method: unknown; path: string }[] = [];
    operations.forEach((operation, index) => {
        if (!isJsonObject(operation)) {
            return;
        }
        const { name, method, path: pattern } = operation;
        const sameName = previousOperations.find(other => typeof name === "string" && other.name === name);
        if (sameName !== undefined) {
            mistakes.add(
                [...path, index, "name"],
                `${describeValue(name)} is already the name of entry [${sameName.index}]`,
            );
        }
        if (typeof pattern !== "string") {
            return;
        }
        const overlapping = previousOperations.find(
            other => other.method === method && pathsOverlap(other.path, pattern),
        );
        if (overlapping !== undefined) {
            const message = `${describeValue(method)} ${describeValue(pattern)} also matches calls of entry [${overlapping.index}] (${describeValue(overlapping.path)})`;
            mistakes.add([...path, index, "path"], message, "give each operation its own method and paths");
        }
        previousOperations.push({ index, name, method, path: pattern });
    });
}

function checkPartners(answers: Record<string, unknown>, mistakes: Mistakes): void {
    if (Object.hasOwn(objectAt(answers, "partners"), internalPartner)) {
        const message = `the name "${internalPartner}" is reserved for callers without a partner`;
        mistakes.add(["partners", internalPartner], message, "choose another name");
    }
}

function checkCallers(answers: Record<string, unknown>, mistakes: Mistakes): void {
    const services = Object.keys(objectAt(answers, "services"));
    const partners = [...Object.keys(objectAt(answers, "partners")), internalPartner];
    const knownNames = { services: new Set(services), partners: new Set(partners) };
    for (const [name, caller] of Object.entries(objectAt(answers, "callers"))) {
        if (!isJsonObject(caller)) {
            continue;
        }
        const { partner, service, mayCall } = caller;
        checkReference(partner, knownNames.partners, ["callers", name, "partner"], "partner", mistakes);
        checkReference(service, knownNames.services, ["callers", name, "service"], "service", mistakes);
        for (const [index, calledService] of Array.isArray(mayCall) ? mayCall.entries() : []) {
            checkReference(
                calledService,
                knownNames.services,
                ["callers", name, "mayCall", index],
                "service",
                mistakes,
            );
        }
    }
}

function checkRoutes(answers: Record<string, unknown>, mistakes: Mistakes): void {
    const services = new Set(Object.keys(objectAt(answers, "services")));
    const routeBySelector = new Map<string, string>();
    for (const [name, route] of Object.entries(objectAt(answers, "routes"))) {
        if (!isJsonObject(route)) {
            continue;
        }
        const { hostName, prefix } = route;
        const destinations = objectAt(route, "destinations");
        const path: Path = ["routes", name];
        Object.keys(destinations).forEach(service =>
            checkReference(service, services, [...path, "destinations", service], "service", mistakes),
        );
        if (
            Object.keys(destinations).length > 0 &&
            Object.values(destinations).every(weight => weight === 0)
        ) {
            mistakes.add([...path, "destinations"], "every weight is 0", "give one service a weight above 0");
        }
        if (typeof prefix === "string" && !/^\/(?:[!-~]*\/)?$/.test(prefix)) {
            const message = `${describeValue(prefix)} is not a path that starts and ends with a slash`;
            mistakes.add([...path, "prefix"], message, 'write a path such as "/items/"');
        }
        const selector = `${String(hostName).toLowerCase()}${String(prefix)}`;
        const duplicate = routeBySelector.get(selector);
        if (duplicate !== undefined) {
            const message = `route "${duplicate}" has the same host name and prefix`;
            mistakes.add([...path, "prefix"], message, "give each route its own host name or prefix");
        }
        routeBySelector.set(selector, name);
    }
}

function checkReference(
    value: unknown,
    knownNames: ReadonlySet<string>,
    path: Path,
    subject: string,
    mistakes: Mistakes,
): void {
    if (typeof value === "string" && !knownNames.has(value)) {
        const closest = suggest(value, knownNames);
        const nextStep =
            closest === undefined ? `use a ${subject} that the answers define` : `did you mean "${closest}"?`;
        mistakes.add(path, `the ${subject} ${describeValue(value)} does not exist`, nextStep);
    }
}

function objectAt(answers: Record<string, unknown>, key: string): Record<string, unknown> {
    const value = answers[key];
    return isJsonObject(value) ? value : {};
}
