import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** Behaviour of a faulty backend server, selected by the request path. */
export const RawFault = {
    Whole: "whole",
    Chunked: "chunked",
    /** Complete response without a length, delimited by the end of the connection. */
    Unframed: "unframed",
    /** Complete response without the id of the call. */
    Unnamed: "unnamed",
    /** The same response twice in one write. */
    Twice: "twice",
    /** The same response again after some milliseconds. */
    Late: "late",
    /** A part of the response, then the end of the connection. */
    Cut: "cut",
    /** A part of the response, then a reset. */
    Reset: "reset",
    /** A part of a response without a length, then a reset. */
    UnframedReset: "unframedReset",
    /** The previous response on the connection again, and the correct one some milliseconds later. */
    Repeated: "repeated",
    /** A head truncated in a header, followed by the previous response on the connection. */
    Merged: "merged",
    /** A refusal truncated in a header, followed by the complete response. */
    RefusalStops: "refusalStops",
    /** A response truncated in its status line, followed by a 500 response to the same call. */
    StatusStops: "statusStops",
    /** The head truncated in a header, followed by the complete response. */
    HeadAgain: "headAgain",
    /** The head truncated in a header, followed by a refusal without an id. */
    RefusalBehind: "refusalBehind",
    /** Reports that the call was not run. */
    Refused: "refused",
    RefusedUnnamed: "refusedUnnamed",
    /** Bytes that are not an HTTP response. */
    Garbage: "garbage",
} as const;
export type RawFault = (typeof RawFault)[keyof typeof RawFault];

export interface RawRun {
    readonly callId: string;
    /** Header lines that echo the ids of the call. */
    readonly idLines: string;
    /** Body of the response. */
    readonly body: string;
}

export interface RawBackend {
    readonly address: string;
    readonly runs: readonly RawRun[];
    close(): Promise<void>;
}

interface RawCall {
    readonly idLines: string;
    /** Percentage or milliseconds, depending on the fault. */
    readonly amount: number;
    /** Previous response on this connection. */
    readonly last: string;
}

const notRunLine = "tanagertray-outcome: not-run";
const unknownIdLines = "tanagertray-call-id: none\r\ntanagertray-attempt-id: none";
const hopPattern = /\r\ntanagertray-hop: ([0-9a-f-]{36});/;
const idLine = (callId: string) => `tanagertray-call-id: ${callId}`;
/** Header lines that echo the ids of the request, which comes from a daemon on the same host or on another one. */
const echoedIdLines = (head: string, callId: string) => {
    const [, attemptId] = hopPattern.exec(head) ?? [];
    return attemptId === undefined
        ? idLine(callId)
        : `${idLine(callId)}\r\ntanagertray-attempt-id: ${attemptId}`;
};

function responseText(status: string, lines: readonly string[], body: string): string {
    return `HTTP/1.1 ${status}\r\n${lines.join("\r\n")}\r\n\r\n${body}`;
}

function completeResponse({ idLines, body }: RawRun): string {
    return responseText("200 OK", [idLines, `content-length: ${body.length}`], body);
}

function refusalResponse(lines: readonly string[]): string {
    return responseText("503 Busy", [...lines, notRunLine, "content-length: 4"], "busy");
}

function firstPercent(text: string, percent: number): string {
    return text.slice(0, Math.floor((text.length * percent) / 100));
}

/** Time between the last bytes and a reset, in milliseconds. */
const resetAfterMs = 5;

/** Refusals, which are sent without running the call. */
const refusals: Readonly<Partial<Record<RawFault, (call: RawCall) => string>>> = {
    [RawFault.Refused]: ({ idLines }) => refusalResponse([idLines]),
    [RawFault.RefusedUnnamed]: () => refusalResponse([]),
};

type Answer = (socket: Socket, run: RawRun, call: RawCall) => void;
const writeComplete: Answer = (socket, run) => void socket.write(completeResponse(run));

const answers = {
    [RawFault.Whole]: writeComplete,
    [RawFault.Refused]: writeComplete,
    [RawFault.RefusedUnnamed]: writeComplete,
    [RawFault.Chunked]: (socket, { idLines, body }) => {
        const chunk = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
        socket.write(responseText("200 OK", [idLines, "transfer-encoding: chunked"], chunk));
    },
    [RawFault.Unframed]: (socket, { idLines, body }) =>
        void socket.end(responseText("200 OK", [idLines], body)),
    [RawFault.Unnamed]: (socket, { body }) => {
        socket.write(responseText("200 OK", [`content-length: ${body.length}`], body));
    },
    [RawFault.Twice]: (socket, run) => void socket.write(completeResponse(run) + completeResponse(run)),
    [RawFault.Late]: (socket, run, { amount }) => {
        socket.write(completeResponse(run));
        setTimeout(() => socket.write(completeResponse(run)), amount / 2);
    },
    [RawFault.Cut]: (socket, run, { amount }) => void socket.end(firstPercent(completeResponse(run), amount)),
    [RawFault.Reset]: (socket, run, { amount }) => {
        socket.write(firstPercent(completeResponse(run), amount));
        setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    },
    [RawFault.UnframedReset]: (socket, { idLines, body }, { amount }) => {
        socket.write(firstPercent(responseText("200 OK", [idLines, "connection: close"], body), amount));
        setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    },
    [RawFault.Repeated]: (socket, run, { amount, last }) => {
        socket.write(last);
        setTimeout(() => socket.write(completeResponse(run)), amount / 4);
    },
    [RawFault.Merged]: (socket, { idLines, body }, { last }) => {
        const rest = last === "" ? completeResponse({ callId: "none", idLines: unknownIdLines, body }) : last;
        socket.write(`HTTP/1.1 200 OK\r\n${idLines}\r\nx-note: ${rest}`);
    },
    [RawFault.RefusalStops]: (socket, run) => {
        socket.write(`HTTP/1.1 503 Busy\r\n${notRunLine}\r\nx-note: sto${completeResponse(run)}`);
    },
    [RawFault.StatusStops]: (socket, { idLines, body }) => {
        socket.write(
            `HTTP/1.1 200 O${responseText("500 Failed", [idLines, `content-length: ${body.length}`], body)}`,
        );
    },
    [RawFault.HeadAgain]: (socket, run) => {
        socket.write(`HTTP/1.1 200 OK\r\n${run.idLines}\r\nx-note: sto${completeResponse(run)}`);
    },
    [RawFault.RefusalBehind]: (socket, { idLines }) => {
        socket.write(`HTTP/1.1 200 OK\r\n${idLines}\r\nx-note: sto${refusalResponse([])}`);
    },
    [RawFault.Garbage]: socket => void socket.write("hello\r\n\r\n"),
} satisfies Record<RawFault, Answer>;

const requestPattern = /^\w+ (?:\/orders)?\/(\w+)\/(\d+)\S* HTTP[^]*?\r\ntanagertray-call-id: (\S+)\r\n/;

/** Opens a backend server that writes raw responses. Calls have the path `/<fault>/<amount>` and no body. */
export async function openRawBackend(): Promise<RawBackend> {
    const runs: RawRun[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => undefined);
        let received = "";
        let last = "";
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            for (let end = received.indexOf("\r\n\r\n"); end >= 0; end = received.indexOf("\r\n\r\n")) {
                last = serve(socket, received.slice(0, end + 2), last);
                received = received.slice(end + 4);
            }
        });
    });

    function serve(socket: Socket, head: string, last: string): string {
        const [, fault = "", amount = "", callId = ""] = requestPattern.exec(head) ?? [];
        const idLines = echoedIdLines(head, callId);
        const call = { idLines, amount: Number(amount), last };
        const refuse = refusals[fault as RawFault];
        if (refuse !== undefined) {
            socket.write(refuse(call));
            return refuse(call);
        }
        const run = { callId, idLines, body: `answer ${runs.length + 1} to ${callId}` };
        runs.push(run);
        answers[fault as RawFault](socket, run, call);
        return completeResponse(run);
    }

    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: addressOf(server),
        runs,
        async close() {
            const closed = new Promise<void>(resolve => server.close(() => resolve()));
            sockets.forEach(socket => socket.destroy());
            await closed;
        },
    };
}

function addressOf(server: Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
