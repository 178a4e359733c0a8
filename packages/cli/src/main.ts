#!/usr/bin/env node
import { parseArguments } from "./parseArguments.js";
import { runCommand } from "./runCommand.js";

const parsed = parseArguments(process.argv);
if (parsed !== undefined) {
    process.exitCode = await runCommand(parsed);
}
