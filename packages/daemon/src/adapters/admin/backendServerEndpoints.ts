import { problem, ProblemCode, type Announcement } from "@tanagertray/core";
import type { Board } from "../../board.js";
import { readGroup } from "./body.js";
import { maxShortBodyBytes } from "./constants.js";
import { Access, type EndpointTable } from "./exchange.js";
import { send, sendProblem } from "./responses.js";

/** Endpoints for announcements of backend servers and for drain commands. */
export function backendServerEndpoints(board: Board): EndpointTable {
    const announcements = board.claimFeed("announcements");
    return {
        "POST /v1/backend-servers": {
            access: Access.BackendServer,
            async handle({ request, response }) {
                const body = await readGroup(request, maxShortBodyBytes);
                body.caseOf({
                    Left: reason => sendProblem(response, reason),
                    Right: announcement => {
                        announcements.append(announcement as unknown as Announcement);
                        send(response, 202, {});
                    },
                });
            },
        },
        "POST /v1/drain": {
            access: Access.Operator,
            async handle({ request, response }) {
                const body = await readGroup(request, maxShortBodyBytes);
                body.caseOf({
                    Left: reason => sendProblem(response, reason),
                    Right: ({ backendServer }) => {
                        const known = board.read("backendServers");
                        if (typeof backendServer !== "string" || !known.has(backendServer)) {
                            const message = "the backend server is not known on this host";
                            const nextStep = `known are: ${[...known.keys()].join(", ") || "none"}`;
                            const details = { where: "backendServer", nextStep };
                            return sendProblem(response, problem(ProblemCode.NotFound, message, details));
                        }
                        announcements.append({ kind: "drain", id: backendServer });
                        send(response, 202, { backendServer });
                    },
                });
            },
        },
    };
}
