import type { Command } from "../command.js";

export const drain: Command = {
    arguments: "<backend-server>",
    description: "Stop sending new calls to a backend server of the host",
    example: "drain orders-3 --admin 10.0.0.1:8082",
    async run([backendServer], { client, operator }) {
        const response = await client.post("/v1/drain", { backendServer, operator });
        const text = `drain of ${backendServer} requested; follow it with \`tanagertray status\`\n`;
        return response.map(body => ({ json: body, text }));
    },
};
