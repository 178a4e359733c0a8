import { ExitCode, OptionKind, type Command } from "../command.js";
import { formatTable } from "../table.js";

interface Explanation {
    readonly carried: boolean;
    readonly version: number;
    readonly findings: readonly { readonly step: string; readonly holds: boolean; readonly detail: string }[];
    readonly targets: readonly { readonly tier: string; readonly hosts: readonly string[] }[];
}

export const explain: Command = {
    arguments: "<service> <caller> [path]",
    describe: "Say why a call would go where, or why it would be refused",
    example: "explain orders crews /orders/7 --method POST",
    options: [{ name: "method", kind: OptionKind.Text, describe: "Method of the call", default: "GET" }],
    async run([service = "", caller = "", path = "/"], { client, options }) {
        const query = new URLSearchParams({ service, caller, method: String(options["method"]), path });
        const answer = await client.get(`/v1/explain?${query}`);
        return answer.map(body => ({
            json: body,
            text: formatExplanation(body as Explanation),
            exitCode: (body as Explanation).carried ? ExitCode.Done : ExitCode.Refused,
        }));
    },
};

function formatExplanation({ carried, version, findings, targets }: Explanation): string {
    const steps = findings.map(({ step, holds, detail }) => [step, holds ? "yes" : "no", detail]);
    const tiers = targets.map(({ tier, hosts }) => [tier, hosts.join(", ") || "none"]);
    const verdict = carried ? "would be carried" : "would be refused";
    return `the call ${verdict} (version ${version})\n\n${formatTable(["step", "passes", "why"], steps)}\n${formatTable(["tier", "hosts"], tiers)}`;
}
