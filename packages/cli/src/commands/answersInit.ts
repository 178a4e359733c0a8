import { isName, problem, ProblemCode } from "@tanagertray/core";
import { Left, Right } from "purify-ts/Either";
import { writeFileSync } from "node:fs";
import { ExitCode, OptionKind, type Command } from "../command.js";
import { usageFailure } from "../failures.js";

export const answersInit: Command = {
    arguments: "[file]",
    description: "Write an answers file with comments, to be filled in",
    example: "answers init answers.jsonc --deployment azraq",
    options: [
        {
            name: "deployment",
            kind: OptionKind.Text,
            description: "Name of the deployment",
            default: "example",
        },
    ],
    async run([file], { options }) {
        const deployment = String(options["deployment"]);
        if (!isName(deployment)) {
            const nextStep = "use lowercase letters, digits and hyphens, starting with a letter";
            return Left(usageFailure(`"${deployment}" is not a valid name`, nextStep));
        }
        const text = renderTemplate(deployment);
        if (file === undefined) {
            return Right({ json: { answers: text }, text });
        }
        try {
            writeFileSync(file, text, { flag: "wx" });
        } catch (error) {
            const message = `the file was not written: ${(error as Error).message}`;
            const details = { where: file, nextStep: "choose a new file name in an existing folder" };
            return Left({
                exitCode: ExitCode.Refused,
                problem: problem(ProblemCode.Unreadable, message, details),
            });
        }
        const followUp = `fill it in, then run \`tanagertray answers check ${file}\``;
        return Right({ json: { file }, text: `wrote ${file}; ${followUp}\n` });
    },
};

/** Required numbers are 0, which `answers check` rejects, so that none is left unfilled. */
function renderTemplate(deployment: string): string {
    return `{
    // Name of the deployment: lowercase letters, digits and hyphens, starting with a letter.
    "deployment": "${deployment}",

    // Companies whose callers share the backend servers. Remove this section if there are none.
    "partners": {
        "example-partner": {
            // Weight of the partner's calls when a backend server is busy, from 0.01 to 1000. Default 1.
            "share": 1
        }
    },

    "services": {
        "example-service": {
            // Calls that one backend server processes at the same time.
            "slots": 0,
            // Connections that one backend server accepts.
            "connections": 0,
            // Seconds that calls in progress may take once a backend server is draining. Default 30.
            "drainSeconds": 30,
            // Milliseconds over which a new backend server gets a growing share of calls. Default 0.
            "coldStartMs": 0,
            // "healthPath": "/health",
            "operations": [
                {
                    "name": "read",
                    "method": "GET",
                    // * matches one path segment; ** at the end matches all remaining segments.
                    "path": "/items/*",
                    // Whether a call may be sent again when its outcome is unknown.
                    "repeatable": true,
                    // Milliseconds after which the caller no longer needs the response. Default 5000.
                    "deadlineMs": 5000,
                    // Largest request body in bytes. Default 1048576.
                    "maxBodyBytes": 1048576
                }
            ]
        }
    },

    // Who may call which services. "partner" and "service" are optional:
    // the partner whose share the calls use, and the service whose backend servers make them.
    "callers": {
        "example-caller": {
            "partner": "example-partner",
            "mayCall": ["example-service"]
        }
    }

    // Routes by host name and path prefix, and limits of callers' connections, are optional:
    // , "routes": {
    //     "example-route": {
    //         "hostName": "example.internal",
    //         "prefix": "/items/",
    //         // Weights of the services.
    //         "destinations": { "example-service": 1 },
    //         // "safe" may run more than once, "unsafe" and "upload" at most once.
    //         "repetition": "safe",
    //         "maxAttempts": 2,
    //         "timeoutMs": 5000,
    //         "latencyObjectiveMs": 500,
    //         "priority": 0
    //     }
    // },
    // "limits": { "maxBodyBytes": 1048576, "idleTimeoutMs": 5000 }
}
`;
}
