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
    description: "Explain where a call would go, or why it would be refused",
    example: "explain orders crews /orders/7 --method POST",
    options: [{ name: "method", kind: OptionKind.Text, description: "Method of the call", default: "GET" }],
    async run([service = "", caller = "", path = "/"], { client, options }) {
        const query = new URLSearchParams({ service, caller, method: String(options["method"]), path });
        const response = await client.get(`/v1/explain?${query}`);
        return response.map(body => ({
            json: body,
            text: formatExplanation(body as Explanation),
            exitCode: (body as Explanation).carried ? ExitCode.Success : ExitCode.Refused,
        }));
    },
};

function formatExplanation({ carried, version, findings, targets }: Explanation): string {
    const checkRows = findings.map(({ step, holds, detail }) => [step, holds ? "yes" : "no", detail]);
    const tierRows = targets.map(({ tier, hosts }) => [tier, hosts.join(", ") || "none"]);
    const verdict = carried ? "would be forwarded" : "would be refused";
    return `the call ${verdict} (version ${version})\n\n${formatTable(["check", "passed", "detail"], checkRows)}\n${formatTable(["tier", "hosts"], tierRows)}`;
}
