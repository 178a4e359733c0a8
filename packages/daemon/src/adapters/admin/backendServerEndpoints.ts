import { problem, ProblemCode, type Announcement } from "@tanagertray/core";
import type { Board } from "../../board.js";
import { readJsonObject } from "./body.js";
import { whenDepartureStored } from "./departureAcknowledgement.js";
import { maxSmallBodyBytes } from "./constants.js";
import { Access, type EndpointTable } from "./endpoint.js";
import { sendJson, sendProblem } from "./responses.js";

/** Endpoints that receive announcements from backend servers and drain commands from operators. */
export function backendServerEndpoints(board: Board): EndpointTable {
    const announcements = board.claimFeed("announcements");
    return {
        "POST /v1/backend-servers": {
            access: Access.BackendServer,
            async handle({ request, response }) {
                const body = await readJsonObject(request, maxSmallBodyBytes);
                await body.caseOf<Promise<void> | void>({
                    Left: reason => sendProblem(response, reason),
                    Right: async announcement => {
                        announcements.append(announcement as unknown as Announcement);
                        await whenDepartureStored(board, String(announcement["id"]));
                        sendJson(response, 202, {});
                    },
                });
            },
        },
        "POST /v1/drain": {
            access: Access.Operator,
            async handle({ request, response }) {
                const body = await readJsonObject(request, maxSmallBodyBytes);
                await body.caseOf<Promise<void> | void>({
                    Left: reason => sendProblem(response, reason),
                    Right: async ({ backendServer }) => {
                        const known = board.read("backendServers");
                        if (typeof backendServer !== "string" || !known.has(backendServer)) {
                            const message = "this host does not know the backend server";
                            const nextStep = `known backend servers: ${[...known.keys()].join(", ") || "none"}`;
                            const details = { where: "backendServer", nextStep };
                            return sendProblem(response, problem(ProblemCode.NotFound, message, details));
                        }
                        announcements.append({ kind: "drain", id: backendServer });
                        await whenDepartureStored(board, backendServer);
                        sendJson(response, 202, { backendServer });
                    },
                });
            },
        },
    };
}
