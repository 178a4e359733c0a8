#!/usr/bin/env node
import { parse } from "jsonc-parser";
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { resolveSettings } from "./settings/resolveSettings.js";
import type { Settings } from "./settings/settings.js";
import { startDaemon } from "./start.js";

const { values } = parseArgs({ options: { settings: { type: "string" }, check: { type: "boolean" } } });
const settings = resolveSettings(parse(readFileSync(values.settings ?? "", "utf8")) as Settings);
const daemon = await startDaemon(settings);
process.once("SIGTERM", () => void daemon.close().then(() => process.exit(0)));
