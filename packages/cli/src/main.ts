#!/usr/bin/env node
import { parseArguments } from "./parseArguments.js";
import { runCommand } from "./runCommand.js";

const parsed = parseArguments(process.argv);
if (parsed !== undefined) {
    process.exitCode = await runCommand(parsed, {
        env: process.env,
        interactive: process.stderr.isTTY,
        write: text => process.stdout.write(text),
        writeError: text => process.stderr.write(text),
    });
}
