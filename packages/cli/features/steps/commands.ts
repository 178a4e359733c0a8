import { After, Given, Then, When } from "@cucumber/cucumber";
import { readAnswers } from "@tanagertray/core";
import { commandTable, parseArguments, runCommand, type CommandContext } from "@tanagertray/cli";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { readFileSync } from "node:fs";
import { startFakeAdmin, type FakeAdmin } from "./fakeAdmin.js";

interface World {
    admin: FakeAdmin;
    run: { code: number; text: string };
    template: string;
}

const goldenFolder = "packages/cli/features/golden";
const token = "operator-token-0001";

Given("an admin server in the state {string}", async function (this: World, state: string) {
    this.admin = await startFakeAdmin(state);
});

After(async function (this: World) {
    await this.admin?.close();
});

function splitArguments(line: string): readonly string[] {
    return line.replaceAll("GOLDEN", goldenFolder).split(" ");
}

function createEnvironment({ admin }: World) {
    return { TANAGERTRAY_ADMIN: admin.url, TANAGERTRAY_TOKEN: token, USER: "dana" };
}

function recordOutput(world: World, code: number, output: string, errors: string): void {
    const text = `${output}--- standard error ---\n${errors}`.replaceAll(world.admin.url, "ADMIN");
    world.run = { code, text };
}

When("tanagertray runs with {string}", async function (this: World, line: string) {
    const parsed = parseArguments(["node", "tanagertray", ...splitArguments(line)]);
    assert.ok(parsed !== undefined);
    let output = "";
    let errors = "";
    const code = await runCommand(parsed, {
        env: createEnvironment(this),
        interactive: false,
        write: text => (output += text),
        writeError: text => (errors += text),
    });
    recordOutput(this, code, output, errors);
});

When("the tanagertray process runs with {string}", async function (this: World, line: string) {
    const env = { ...process.env, ...createEnvironment(this) };
    const args = ["packages/cli/dist/main.js", ...splitArguments(line)];
    await new Promise<void>(resolve => {
        execFile(process.execPath, args, { env }, (error, stdout, stderr) => {
            const code = error === null ? 0 : typeof error.code === "number" ? error.code : -1;
            recordOutput(this, code, stdout, stderr);
            resolve();
        });
    });
});

Then(
    "tanagertray exits with {int} and its output equals the golden file {string}",
    function (this: World, code: number, file: string) {
        assert.equal(this.run.text, readFileSync(`${goldenFolder}/${file}`, "utf8"));
        assert.equal(this.run.code, code);
        assert.ok(!this.run.text.includes(token));
    },
);

Then(
    "the admin server received the token and the operator {string}",
    function (this: World, operator: string) {
        const last = this.admin.requests.at(-1);
        assert.equal(last?.authorization, `Bearer ${token}`);
        assert.equal(last?.operator, operator);
    },
);

When("the template of tanagertray answers init is filled in", async function (this: World) {
    const context = { options: { deployment: "azraq" } } as unknown as CommandContext;
    const outcome = await commandTable["answers init"]?.run([], context);
    const text = outcome?.map(result => result.text).orDefault("") ?? "";
    this.template = text
        .replace('"slots": 0', '"slots": 20')
        .replace('"connections": 0', '"connections": 130');
    assert.notEqual(this.template, text);
});

Then("the filled-in template has no mistakes", function (this: World) {
    assert.deepEqual(readAnswers(this.template).swap().orDefault([]), []);
});
