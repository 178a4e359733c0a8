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
import { maxMistakes, maxNesting, maxTextLength } from "./constants.js";

/**
 * Parses JSON with comments. Syntax errors and repeated keys are listed with line and column.
 *
 * @example
 * ```ts
 * parseText('{ "deployment": "demo" }'); // Right({ deployment: "demo" })
 * ```
 */
export function parseText(text: string): Either<readonly Problem[], unknown> {
    if (text.length > maxTextLength) {
        const message = `the text has ${text.length} characters; allowed are at most ${maxTextLength}`;
        return Left([unreadable(message, "line 1")]);
    }
    const deepAt = findDeepNesting(text);
    if (deepAt !== undefined) {
        return Left([
            unreadable(`lists and groups are nested more than ${maxNesting} deep`, placeOf(text, deepAt)),
        ]);
    }
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, { allowTrailingComma: true });
    if (errors.length > 0 || tree === undefined) {
        const listed = errors.slice(0, maxMistakes).map(error => {
            const name = printParseErrorCode(error.error);
            return unreadable(`the text is not JSON with comments: ${name}`, placeOf(text, error.offset));
        });
        return Left(listed.length > 0 ? listed : [unreadable("the text is empty", "line 1, column 1")]);
    }
    const repeated = findRepeatedKeys(tree).slice(0, maxMistakes);
    return repeated.length > 0
        ? Left(
              repeated.map(node =>
                  unreadable(`the key ${JSON.stringify(node.value)} is repeated`, placeOf(text, node.offset)),
              ),
          )
        : Right(getNodeValue(tree));
}

function unreadable(message: string, where: string): Problem {
    return problem(ProblemCode.Unreadable, message, { where, nextStep: "correct the text there" });
}

/** Returns the offset at which the nesting exceeds the limit. */
function findDeepNesting(text: string): number | undefined {
    const scanner = createScanner(text, true);
    let depth = 0;
    while (scanner.getPosition() < text.length) {
        scanner.scan();
        const start = scanner.getTokenOffset();
        const token = text.slice(start, start + scanner.getTokenLength());
        depth += token === "{" || token === "[" ? 1 : token === "}" || token === "]" ? -1 : 0;
        if (depth > maxNesting) {
            return scanner.getTokenOffset();
        }
    }
    return undefined;
}

function findRepeatedKeys(node: Node): readonly Node[] {
    const children = node.children ?? [];
    const seen = new Set<unknown>();
    const own: Node[] = [];
    for (const property of node.type === "object" ? children : []) {
        const key = property.children?.[0] as Node;
        if (seen.has(key.value)) {
            own.push(key);
        }
        seen.add(key.value);
    }
    return [...own, ...children.flatMap(findRepeatedKeys)];
}

function placeOf(text: string, offset: number): string {
    const before = text.slice(0, offset);
    const line = before.split("\n").length;
    return `line ${line}, column ${offset - before.lastIndexOf("\n")}`;
}
