import { cpSync, mkdirSync, mkdtempSync, readdirSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { basename, join, resolve } from "node:path";

const excludedNames = new Set(["node_modules", ".git"]);

/**
 * Copies the project to a temporary folder. Installed packages are symbolic links to the originals, but the packages
 * of the project itself resolve to the copy.
 */
export function copyProject(source: string): string {
    const target = mkdtempSync(join(tmpdir(), "tanagertray-mutation-"));
    cpSync(source, target, { recursive: true, filter: path => !excludedNames.has(basename(path)) });
    const modules = join(target, "node_modules");
    mkdirSync(join(modules, "@tanagertray"), { recursive: true });
    for (const name of readdirSync(join(source, "node_modules"))) {
        if (name !== "@tanagertray") {
            symlinkSync(resolve(source, "node_modules", name), join(modules, name));
        }
    }
    for (const name of readdirSync(join(target, "packages"))) {
        symlinkSync(join(target, "packages", name), join(modules, "@tanagertray", name));
    }
    return target;
}
