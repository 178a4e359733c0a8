import { Left, Right, type Either } from "purify-ts/Either";
import { checkValue, isGroup } from "../checking/checkValue.js";
import { parseText } from "../checking/checkText.js";
import { createMistakes, describeValue, type Mistakes, type Path } from "../checking/mistakes.js";
import { suggest } from "../checking/suggest.js";
import { internalPartner } from "../constants.js";
import { ProblemCode, type Problem } from "../problem.js";
import type { Answers } from "./answers.js";
import { answersRule } from "./answersRule.js";
import { pathsOverlap } from "./pathOverlap.js";

/**
 * Reads answers from JSON with comments and lists every mistake.
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

/** Checks parsed answers and lists every mistake. */
export function checkAnswers(answers: unknown): Either<readonly Problem[], Answers> {
    const mistakes = createMistakes(ProblemCode.InvalidAnswer);
    checkValue(answersRule, answers, [], mistakes);
    if (isGroup(answers)) {
        checkServices(answers, mistakes);
        checkPartners(answers, mistakes);
        checkCallers(answers, mistakes);
        checkRoutes(answers, mistakes);
    }
    const found = mistakes.list();
    return found.length > 0 ? Left(found) : Right(answers as unknown as Answers);
}

function checkServices(answers: Record<string, unknown>, mistakes: Mistakes): void {
    for (const [name, service] of Object.entries(groupAt(answers, "services"))) {
        const operations = isGroup(service) ? service["operations"] : undefined;
        if (Array.isArray(operations)) {
            checkOperations(operations, ["services", name, "operations"], mistakes);
        }
    }
}

function checkOperations(operations: readonly unknown[], path: Path, mistakes: Mistakes): void {
    const known: { index: number; name: unknown; method: unknown; path: string }[] = [];
    operations.forEach((operation, index) => {
        if (!isGroup(operation)) {
            return;
        }
        const { name, method, path: pattern } = operation;
        const sameName = known.find(other => typeof name === "string" && other.name === name);
        if (sameName !== undefined) {
            mistakes.add(
                [...path, index, "name"],
                `${describeValue(name)} is the name of entry [${sameName.index}] too`,
            );
        }
        if (typeof pattern !== "string") {
            return;
        }
        const rival = known.find(other => other.method === method && pathsOverlap(other.path, pattern));
        if (rival !== undefined) {
            const message = `${describeValue(method)} ${describeValue(pattern)} matches calls of entry [${rival.index}] (${describeValue(rival.path)}) too`;
            mistakes.add([...path, index, "path"], message, "give each operation its own method and paths");
        }
        known.push({ index, name, method, path: pattern });
    });
}

function checkPartners(answers: Record<string, unknown>, mistakes: Mistakes): void {
    if (Object.hasOwn(groupAt(answers, "partners"), internalPartner)) {
        const message = `the name "${internalPartner}" is reserved for callers without a partner`;
        mistakes.add(["partners", internalPartner], message, "choose another name");
    }
}

function checkCallers(answers: Record<string, unknown>, mistakes: Mistakes): void {
    const services = Object.keys(groupAt(answers, "services"));
    const partners = [...Object.keys(groupAt(answers, "partners")), internalPartner];
    const known = { services: new Set(services), partners: new Set(partners) };
    for (const [name, caller] of Object.entries(groupAt(answers, "callers"))) {
        if (!isGroup(caller)) {
            continue;
        }
        const { partner, service, mayCall } = caller;
        checkReference(partner, known.partners, ["callers", name, "partner"], "partner", mistakes);
        checkReference(service, known.services, ["callers", name, "service"], "service", mistakes);
        for (const [index, called] of Array.isArray(mayCall) ? mayCall.entries() : []) {
            checkReference(called, known.services, ["callers", name, "mayCall", index], "service", mistakes);
        }
    }
}

function checkRoutes(answers: Record<string, unknown>, mistakes: Mistakes): void {
    const services = new Set(Object.keys(groupAt(answers, "services")));
    const seen = new Map<string, string>();
    for (const [name, route] of Object.entries(groupAt(answers, "routes"))) {
        if (!isGroup(route)) {
            continue;
        }
        const { hostName, prefix } = route;
        const destinations = groupAt(route, "destinations");
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
            const message = `${describeValue(prefix)} is no path that begins and ends with a slash`;
            mistakes.add([...path, "prefix"], message, 'write a path such as "/items/"');
        }
        const selector = `${String(hostName).toLowerCase()}${String(prefix)}`;
        const rival = seen.get(selector);
        if (rival !== undefined) {
            const message = `route "${rival}" has the same host name and prefix`;
            mistakes.add([...path, "prefix"], message, "give each route its own host name or prefix");
        }
        seen.set(selector, name);
    }
}

function checkReference(
    value: unknown,
    known: ReadonlySet<string>,
    path: Path,
    subject: string,
    mistakes: Mistakes,
): void {
    if (typeof value === "string" && !known.has(value)) {
        const closest = suggest(value, known);
        const next =
            closest === undefined ? `name a ${subject} of these answers` : `did you mean "${closest}"?`;
        mistakes.add(path, `the ${subject} ${describeValue(value)} does not exist`, next);
    }
}

function groupAt(answers: Record<string, unknown>, key: string): Record<string, unknown> {
    const value = answers[key];
    return isGroup(value) ? value : {};
}
