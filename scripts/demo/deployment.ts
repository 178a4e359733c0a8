import type { CallPlan } from "@tanagertray/standin";
import { parse, type ParseError } from "jsonc-parser";
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";

export interface PlannedHost {
    readonly host: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly service: string;
}

export interface Deployment {
    readonly deployment: string;
    /** Settings of every daemon, without names and addresses. */
    readonly settings: Readonly<Record<string, unknown>>;
    readonly hosts: readonly PlannedHost[];
    readonly calls: readonly Omit<CallPlan, "daemons">[];
    readonly services: Readonly<Record<string, { readonly slots: number; readonly connections: number }>>;
    readonly answersFile: string;
    readonly secondAnswersFile: string;
}

/** Reads an example deployment from the `playground` folder. */
export function readDeployment(name: string): Deployment {
    const folder = join("playground", name);
    if (!/^[a-z]+$/.test(name) || !existsSync(join(folder, "deployment.jsonc"))) {
        throw new Error(`deployment "${name}" does not exist in playground; use azraq or kuasa`);
    }
    const answersFile = join(folder, "answers.jsonc");
    const planned = readJsonc(join(folder, "deployment.jsonc")) as Omit<Deployment, "services">;
    const { services } = readJsonc(answersFile) as Pick<Deployment, "services">;
    return { ...planned, services, answersFile, secondAnswersFile: join(folder, "answers.second.jsonc") };
}

function readJsonc(file: string): unknown {
    const errors: ParseError[] = [];
    const content: unknown = parse(readFileSync(file, "utf8"), errors);
    if (errors[0] !== undefined) {
        throw new Error(`${file} is not valid JSONC: syntax error at offset ${errors[0].offset}`);
    }
    return content;
}
