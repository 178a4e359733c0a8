import { Left, Right, type Either } from "purify-ts/Either";
import { readFileSync } from "node:fs";
import type { Failure } from "./command.js";
import { usageFailure } from "./failures.js";

/** Reads a file, or standard input for `-`. */
export function readTextFile(file: string): Either<Failure, string> {
    try {
        return Right(readFileSync(file === "-" ? 0 : file, "utf8"));
    } catch (error) {
        return Left(usageFailure(`the file cannot be read: ${(error as Error).message}`, "check the path"));
    }
}
