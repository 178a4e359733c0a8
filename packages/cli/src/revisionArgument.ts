import { Left, Right, type Either } from "purify-ts/Either";
import type { Failure } from "./command.js";
import { usageFailure } from "./failures.js";

/** Reads the number of a revision from the command line. */
export function readRevisionNumber(argument: string | undefined): Either<Failure, number> {
    const revision = Number(argument);
    return Number.isSafeInteger(revision) && revision > 0
        ? Right(revision)
        : Left(
              usageFailure(
                  `"${argument}" is not the number of a revision`,
                  "take a number from `tanagertray revisions`",
              ),
          );
}
