#!/usr/bin/env node
import { parseArgs } from "node:util";
import { startPlatform } from "./platform.js";

const { values } = parseArgs({ options: { port: { type: "string", default: "9000" } } });
const platform = await startPlatform({ port: Number(values.port) });
process.stdout.write(`${JSON.stringify({ event: "platform.started", url: platform.url })}\n`);
process.once("SIGTERM", () => void platform.close().then(() => process.exit(0)));
