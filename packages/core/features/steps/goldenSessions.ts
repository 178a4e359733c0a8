import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { sessions } from "../support/goldenSessions.js";

interface World {
    session: string;
    text: string;
}

When("the golden session {string} runs", function (this: World, name: string) {
    this.session = name;
    this.text = (sessions[name] as () => string)();
});

Then("its messages equal its golden file", function (this: World) {
    const file = `packages/core/features/golden/sessions/${this.session}.txt`;
    assert.equal(this.text, readFileSync(file, "utf8"), "run `npm run golden` if this change is intended");
});
