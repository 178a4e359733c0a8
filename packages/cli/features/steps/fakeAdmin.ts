import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";

export interface FakeAdmin {
    readonly url: string;
    readonly requests: { readonly authorization?: string | undefined; readonly operator: unknown }[];
    close(): Promise<void>;
}

interface Reply {
    readonly status: number;
    readonly body: unknown;
}

type Replies = Readonly<Record<string, Reply>>;

/** 2026-01-02T03:04:05Z */
const time = 1_767_323_045_000;

const change = {
    version: 4,
    revision: 12,
    manifestHash: "a1",
    operator: "dana",
    writeId: "w1",
    acceptedAt: time,
};
const winningChange = { ...change, revision: 13, operator: "mona" };

function host(name: string, version: number, state = "alive") {
    const place = { failureDomain: "d1", region: "r1", peerAddress: "127.0.0.1:1" };
    const offers = [{ service: "board", slots: 20, startedAt: time }];
    return { host: name, ...place, incarnation: 1, counter: 1, state, offers, version };
}

function refusal(status: number, code: string, message: string, nextStep: string, mistakes?: unknown): Reply {
    return { status, body: { type: "about:blank", title: code, status, code, message, nextStep, mistakes } };
}

const status = {
    host: "h1",
    failureDomain: "d1",
    region: "r1",
    version: 4,
    rejected: { version: 3, reason: "part 7f is corrupt" },
    readiness: { state: "ready", reason: "holds version 4, floor 4", floor: 4, since: time },
    platform: { reachable: true, head: { ...winningChange, token: 4, history: [winningChange] } },
    backendServers: [{ id: "s1", service: "board", state: "serving" }],
    peerLinks: [],
    hosts: 3,
};

const revision = {
    number: 12,
    baseVersion: 3,
    answersHash: "b",
    manifestHash: "c",
    operator: "dana",
    writeId: "w",
};

const explanation = {
    carried: true,
    version: 4,
    findings: [
        { step: "readiness", holds: true, detail: "this host is ready: holds version 4" },
        { step: "operation", holds: true, detail: "GET /ponds/3 matches operation" },
    ],
    targets: [
        { tier: "failure domain", hosts: ["h1", "h2"] },
        { tier: "region", hosts: [] },
    ],
};

const normalReplies: Replies = {
    "POST /v1/revisions": { status: 200, body: { ...revision, submittedAt: time, state: "proposed" } },
    "GET /v1/revisions": {
        status: 200,
        body: [
            { ...revision, number: 11, submittedAt: time, state: "rejected", rejectedBy: "mona\u001b[31m" },
            { ...revision, submittedAt: time, state: "proposed" },
        ],
    },
    "GET /v1/diff": {
        status: 200,
        body: { added: ["service/board"], changed: [{ name: "route/board" }], removed: [] },
    },
    "POST /v1/accept": { status: 200, body: { ...change, token: 4, history: [change] } },
    "POST /v1/reject": { status: 200, body: { ...revision, state: "rejected" } },
    "POST /v1/drain": { status: 202, body: { backendServer: "s1" } },
    "GET /v1/status": { status: 200, body: status },
    "GET /v1/hosts": {
        status: 200,
        body: { hosts: [host("h1", 4), host("h2", 4), host("h3", 1, "failed")] },
    },
    "GET /v1/explain": { status: 200, body: explanation },
};

const conflict = "revision 12 was generated from version 3, but version 4 (revision 13 by mona) is accepted";
const mistake = {
    code: "invalidAnswer",
    message: "0 is invalid; expected a whole number from 1 to 100000 slots",
    where: "services.board.slots",
};

/** Replies by the state that a scenario names. */
const repliesByState: Readonly<Record<string, Replies>> = {
    normal: normalReplies,
    stopped: normalReplies,
    mistakes: {
        "POST /v1/revisions": refusal(422, "invalidAnswer", "the answers have 1 mistake", "correct them", [
            mistake,
        ]),
    },
    lagging: {
        ...normalReplies,
        "GET /v1/hosts": { status: 200, body: { hosts: [host("h1", 4), host("h2", 3)] } },
    },
    rejected: {
        ...normalReplies,
        "GET /v1/hosts": {
            status: 200,
            body: { hosts: [{ ...host("h2", 3), rejected: { version: 4, reason: "a part is corrupt" } }] },
        },
    },
    conflict: {
        ...normalReplies,
        "POST /v1/accept": refusal(409, "conflict", conflict, "compare and submit again"),
    },
    outage: {
        "POST /v1/accept": refusal(
            503,
            "platformUnreachable",
            "the platform did not serve head: unavailable",
            "try again later",
        ),
    },
    unauthorized: {
        "GET /v1/status": refusal(
            401,
            "unauthorized",
            "the bearer token is missing or unknown",
            "send a token",
        ),
    },
    notJson: { "GET /v1/status": { status: 200, body: undefined } },
    refused: {
        "GET /v1/explain": {
            status: 200,
            body: {
                ...explanation,
                carried: false,
                findings: [{ step: "operation", holds: false, detail: "PUT /ponds/3 matches no operation" }],
            },
        },
    },
};

/** Starts an admin server with fixed replies. In the state `stopped`, it is closed before the first request. */
export async function startFakeAdmin(state: string): Promise<FakeAdmin> {
    const requests: FakeAdmin["requests"] = [];
    const server = createServer((request, response) => {
        void readText(request).then(text => {
            const { pathname } = new URL(request.url ?? "/", "http://admin");
            const { headers } = request;
            const isJson = headers["content-type"] === "application/json";
            const bodyOperator = isJson ? (JSON.parse(text) as { operator?: unknown }).operator : undefined;
            const operator = bodyOperator ?? headers["tanagertray-operator"];
            requests.push({ authorization: headers.authorization, operator });
            const reply = repliesByState[state]?.[`${request.method} ${pathname}`] ?? {
                status: 404,
                body: {},
            };
            response.writeHead(reply.status);
            response.end(reply.body === undefined ? "<html></html>" : JSON.stringify(reply.body));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const close = () =>
        new Promise<void>(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });
    if (state === "stopped") {
        await close();
    }
    return { url: `http://127.0.0.1:${port}`, requests, close };
}

async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
