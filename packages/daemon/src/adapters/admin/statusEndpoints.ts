import { ReadinessState } from "@tanagertray/core";
import type { Board } from "../../board.js";
import { Access, type EndpointTable } from "./endpoint.js";
import { explain } from "./explain.js";
import { listKnownHosts } from "./knownHosts.js";
import { sendJson, sendProblem } from "./responses.js";

/** Endpoints that show the state of this host and the hosts that it knows. */
export function statusEndpoints(board: Board): EndpointTable {
    return {
        "GET /healthz": {
            access: Access.Anyone,
            handle: ({ response }) => sendJson(response, 200, { status: "ok" }),
        },
        "GET /readyz": {
            access: Access.Anyone,
            handle({ response }) {
                const readiness = board.read("readiness");
                sendJson(response, readiness.state === ReadinessState.Ready ? 200 : 503, readiness);
            },
        },
        "GET /v1/status": {
            access: Access.Operator,
            handle: ({ response }) => sendJson(response, 200, describeStatus(board)),
        },
        "GET /v1/hosts": {
            access: Access.Operator,
            handle: ({ response }) => sendJson(response, 200, { hosts: listKnownHosts(board) }),
        },
        "GET /v1/explain": {
            access: Access.Operator,
            handle: ({ url, response }) =>
                explain(board, url.searchParams).caseOf({
                    Left: reason => sendProblem(response, reason),
                    Right: explanation => sendJson(response, 200, explanation),
                }),
        },
    };
}

function describeStatus(board: Board) {
    const { held, rejected } = board.read("configuration");
    const settings = board.read("settings");
    return {
        host: settings.host,
        failureDomain: settings.failureDomain,
        region: settings.region,
        version: held?.manifest.version ?? 0,
        rejected,
        readiness: board.read("readiness"),
        platform: board.read("platformState"),
        backendServers: [...board.read("backendServers").values()],
        peerLinks: [...board.read("peerLinks").values()],
        hosts: listKnownHosts(board).length,
    };
}
