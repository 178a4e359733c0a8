import { Left, Right, type Either } from "purify-ts/Either";
import type { Failure } from "./command.js";
import { usageFailure } from "./failures.js";

/** Parses a revision number from the command line. */
export function parseRevisionNumber(argument: string | undefined): Either<Failure, number> {
    const revision = Number(argument);
    return Number.isSafeInteger(revision) && revision > 0
        ? Right(revision)
        : Left(
              usageFailure(
                  `"${argument}" is not a revision number`,
                  "run `tanagertray revisions` to list the revision numbers",
              ),
          );
}
