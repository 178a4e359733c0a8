import { isName, problem, ProblemCode } from "@tanagertray/core";
import { Left, Right } from "purify-ts/Either";
import { writeFileSync } from "node:fs";
import { ExitCode, OptionKind, type Command } from "../command.js";
import { usageFailure } from "../failures.js";

export const answersInit: Command = {
    arguments: "[file]",
    describe: "Write a commented questionnaire to fill in",
    example: "answers init answers.jsonc --deployment azraq",
    options: [
        { name: "deployment", kind: OptionKind.Text, describe: "Name of the deployment", default: "example" },
    ],
    async run([file], { options }) {
        const deployment = String(options["deployment"]);
        if (!isName(deployment)) {
            const nextStep = "use small letters, digits and hyphens, starting with a letter";
            return Left(usageFailure(`"${deployment}" is not a name`, nextStep));
        }
        const text = template(deployment);
        if (file === undefined) {
            return Right({ json: { answers: text }, text });
        }
        try {
            writeFileSync(file, text, { flag: "wx" });
        } catch (error) {
            const message = `the file was not written: ${(error as Error).message}`;
            const details = { where: file, nextStep: "name a new file in a folder that exists" };
            return Left({
                exitCode: ExitCode.Refused,
                problem: problem(ProblemCode.Unreadable, message, details),
            });
        }
        const next = `fill it in, then run \`tanagertray answers check ${file}\``;
        return Right({ json: { file }, text: `wrote ${file}; ${next}\n` });
    },
};

/** The figures of 0 are refused by `answers check`, so that none is forgotten. */
function template(deployment: string): string {
    return `{
    // Name of the deployment: small letters, digits and hyphens.
    "deployment": "${deployment}",

    // Firms whose callers share the backend servers. Remove the group if there are none.
    "partners": {
        "example-partner": {
            // Weight when a backend server is busy, from 0.01 to 1000. Default 1.
            "share": 1
        }
    },

    "services": {
        "example-service": {
            // Calls that one backend server works on at a time.
            "slots": 0,
            // Connections that one backend server accepts.
            "connections": 0,
            // Seconds that calls in flight may take after a backend server starts to leave. Default 30.
            "drainSeconds": 30,
            // Milliseconds over which a new backend server gets a growing share of calls. Default 0.
            "coldStartMs": 0,
            // "healthPath": "/health",
            "operations": [
                {
                    "name": "read",
                    "method": "GET",
                    // * stands for one segment, a final ** for any rest.
                    "path": "/items/*",
                    // Whether a call may be sent again when its outcome is unknown.
                    "repeatable": true,
                    // Milliseconds after which the caller no longer needs the answer. Default 5000.
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
    //         // Services by weight.
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
