import { AstBuilder, compile, GherkinClassicTokenMatcher, Parser } from "@cucumber/gherkin";
import { IdGenerator } from "@cucumber/messages";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

export interface Scenario {
    readonly name: string;
    readonly file: string;
    readonly tags: ReadonlySet<string>;
}

const skippedFolders = new Set(["node_modules", "dist", "build", "target", ".git"]);

/** Reads every scenario below the folder with its tags, ordered by file and position. */
export function readScenarios(folder: string): Scenario[] {
    return findFeatures(folder).flatMap(file => parseFeature(folder, file));
}

function findFeatures(folder: string, subfolder = ""): string[] {
    const entries = readdirSync(join(folder, subfolder), { withFileTypes: true });
    return entries
        .sort((a, b) => (a.name < b.name ? -1 : 1))
        .flatMap(entry => {
            const path = join(subfolder, entry.name);
            if (entry.isDirectory()) {
                return skippedFolders.has(entry.name) ? [] : findFeatures(folder, path);
            }
            return entry.name.endsWith(".feature") ? [path] : [];
        });
}

function parseFeature(folder: string, file: string): Scenario[] {
    const newId = IdGenerator.incrementing();
    const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher());
    const document = parser.parse(readFileSync(join(folder, file), "utf8"));
    return compile(document, file, newId).map(pickle => ({
        name: pickle.name,
        file,
        tags: new Set(pickle.tags.map(tag => tag.name)),
    }));
}
