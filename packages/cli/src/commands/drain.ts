import type { Command } from "../command.js";

export const drain: Command = {
    arguments: "<backend-server>",
    describe: "Ask a host to send no new work to one of its backend servers",
    example: "drain orders-3 --admin 10.0.0.1:8082",
    async run([backendServer], { client, operator }) {
        const answer = await client.post("/v1/drain", { backendServer, operator });
        const text = `the drain of ${backendServer} is requested; follow it with \`tanagertray status\`\n`;
        return answer.map(body => ({ json: body, text }));
    },
};
