#!/usr/bin/env node
import { readCommandLine } from "./commandLine.js";
import { ExitCode } from "./exitCode.js";
import { runDaemon } from "./runDaemon.js";

const request = readCommandLine(process.argv.slice(2));
if (request.run) {
    await runDaemon(request.settings);
} else {
    (request.code === ExitCode.Success ? process.stdout : process.stderr).write(request.output);
    process.exitCode = request.code;
}
