import {
    createScanner,
    getNodeValue,
    parseTree,
    printParseErrorCode,
    type Node,
    type ParseError,
} from "jsonc-parser";
import { Left, Right, type Either } from "purify-ts/Either";
import { problem, ProblemCode, type Problem } from "../problem.js";
import { maxMistakes, maxNestingDepth, maxTextLength } from "./constants.js";

/**
 * Parses JSON with comments. Reports syntax errors and repeated keys with line and column.
 *
 * @example
 * ```ts
 * parseText('{ "deployment": "demo" }'); // Right({ deployment: "demo" })
 * ```
 */
export function parseText(text: string): Either<readonly Problem[], unknown> {
    if (text.length > maxTextLength) {
        const message = `the text has ${text.length} characters; at most ${maxTextLength} are allowed`;
        return Left([unreadableProblem(message, "line 1")]);
    }
    const excessOffset = findExcessiveNesting(text);
    if (excessOffset !== undefined) {
        return Left([
            unreadableProblem(
                `arrays and objects are nested more than ${maxNestingDepth} levels deep`,
                formatPosition(text, excessOffset),
            ),
        ]);
    }
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, { allowTrailingComma: true });
    if (errors.length > 0 || tree === undefined) {
        const problems = errors.slice(0, maxMistakes).map(error => {
            const name = printParseErrorCode(error.error);
            return unreadableProblem(
                `the text is not valid JSON with comments: ${name}`,
                formatPosition(text, error.offset),
            );
        });
        return Left(
            problems.length > 0 ? problems : [unreadableProblem("the text is empty", "line 1, column 1")],
        );
    }
    const duplicateKeys = findDuplicateKeys(tree).slice(0, maxMistakes);
    return duplicateKeys.length > 0
        ? Left(
              duplicateKeys.map(node =>
                  unreadableProblem(
                      `the key ${JSON.stringify(node.value)} is repeated`,
                      formatPosition(text, node.offset),
                  ),
              ),
          )
        : Right(getNodeValue(tree));
}

function unreadableProblem(message: string, where: string): Problem {
    return problem(ProblemCode.Unreadable, message, { where, nextStep: "correct the text at this position" });
}

/** Returns the offset of the first token that exceeds the nesting limit. */
function findExcessiveNesting(text: string): number | undefined {
    const scanner = createScanner(text, true);
    let depth = 0;
    while (scanner.getPosition() < text.length) {
        scanner.scan();
        const start = scanner.getTokenOffset();
        const token = text.slice(start, start + scanner.getTokenLength());
        depth += token === "{" || token === "[" ? 1 : token === "}" || token === "]" ? -1 : 0;
        if (depth > maxNestingDepth) {
            return scanner.getTokenOffset();
        }
    }
    return undefined;
}

function findDuplicateKeys(node: Node): readonly Node[] {
    const children = node.children ?? [];
    const seenKeys = new Set<unknown>();
    const duplicates: Node[] = [];
    for (const property of node.type === "object" ? children : []) {
        const key = property.children?.[0] as Node;
        if (seenKeys.has(key.value)) {
            duplicates.push(key);
        }
        seenKeys.add(key.value);
    }
    return [...duplicates, ...children.flatMap(findDuplicateKeys)];
}

function formatPosition(text: string, offset: number): string {
    const before = text.slice(0, offset);
    const line = before.split("\n").length;
    return `line ${line}, column ${offset - before.lastIndexOf("\n")}`;
}
