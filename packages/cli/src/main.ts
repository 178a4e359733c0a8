#!/usr/bin/env node
import { parse } from "jsonc-parser";
import { readFileSync } from "node:fs";
import sade from "sade";
import { request } from "undici";

const program = sade("tanagertray");
program.option("--admin", "Admin address of any daemon", "http://127.0.0.1:8082");
program.option("--token", "Operator's bearer token", process.env["TANAGERTRAY_TOKEN"] ?? "");

async function post(options: { admin: string; token: string }, path: string, body: unknown): Promise<void> {
    const response = await request(`${options.admin}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${options.token}`, "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    process.stdout.write(`${await response.body.text()}\n`);
    process.exitCode = response.statusCode === 200 ? 0 : 1;
}

program
    .command("answers submit <file>")
    .action((file, options) =>
        post(options, "/v1/revisions", { answers: parse(readFileSync(file, "utf8")) }),
    );
program
    .command("accept <revision>")
    .action((revision, options) => post(options, "/v1/accept", { revision: Number(revision) }));

program.parse(process.argv);
