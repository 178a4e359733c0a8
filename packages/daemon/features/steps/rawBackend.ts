import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** What a faulty backend server does with a call. */
export const RawFault = {
    Whole: "whole",
    Chunked: "chunked",
    /** Whole without a length; the end of the connection ends it. */
    Unframed: "unframed",
    /** Whole, without the id of the call. */
    Unnamed: "unnamed",
    /** The same answer twice at once. */
    Twice: "twice",
    /** The same answer again after some milliseconds. */
    Late: "late",
    /** Only some of its bytes, then the end of the connection. */
    Cut: "cut",
    /** Only some of its bytes, then a reset. */
    Reset: "reset",
    /** Without a length, and a reset instead of the end. */
    UnframedReset: "unframedReset",
    /** The last answer on the connection once more, and its own some milliseconds later. */
    Repeated: "repeated",
    /** A head that stops in a header, with the last answer on the connection behind it. */
    Merged: "merged",
    /** A refusal that stops in a header, with its own whole answer behind it. */
    RefusalStops: "refusalStops",
    /** An answer that stops in its status line, with its own failure behind it. */
    StatusStops: "statusStops",
    /** Its own head twice, the first of which stops in a header. */
    HeadAgain: "headAgain",
    /** Its own head, which stops in a header, with a refusal without an id behind it. */
    RefusalBehind: "refusalBehind",
    /** Says that it did not run the call. */
    Refused: "refused",
    RefusedUnnamed: "refusedUnnamed",
    /** Bytes that are no answer. */
    Garbage: "garbage",
} as const;
export type RawFault = (typeof RawFault)[keyof typeof RawFault];

export interface RawRun {
    readonly callId: string;
    /** Header lines that name the call. */
    readonly names: string;
    /** The body of its answer. */
    readonly body: string;
}

export interface RawBackend {
    readonly address: string;
    readonly runs: readonly RawRun[];
    close(): Promise<void>;
}

interface RawCall {
    readonly names: string;
    /** Percent or milliseconds, by fault. */
    readonly amount: number;
    /** Last answer on this connection. */
    readonly last: string;
}

const outcome = "tanagertray-outcome: not-run";
const noNames = "tanagertray-call-id: none\r\ntanagertray-attempt-id: none";
const hopPattern = /\r\ntanagertray-hop: ([0-9a-f-]{36});/;
const idLine = (callId: string) => `tanagertray-call-id: ${callId}`;
/** Lines by which a response names its exchange, to a daemon on the same host or on another one. */
const namesIn = (head: string, callId: string) => {
    const [, attemptId] = hopPattern.exec(head) ?? [];
    return attemptId === undefined
        ? idLine(callId)
        : `${idLine(callId)}\r\ntanagertray-attempt-id: ${attemptId}`;
};

function textOf(status: string, lines: readonly string[], body: string): string {
    return `HTTP/1.1 ${status}\r\n${lines.join("\r\n")}\r\n\r\n${body}`;
}

function wholeOf({ names, body }: RawRun): string {
    return textOf("200 OK", [names, `content-length: ${body.length}`], body);
}

function refusalOf(lines: readonly string[]): string {
    return textOf("503 Busy", [...lines, outcome, "content-length: 4"], "busy");
}

function part(text: string, percent: number): string {
    return text.slice(0, Math.floor((text.length * percent) / 100));
}

/** Time between the last bytes and a reset, in milliseconds. */
const resetAfterMs = 5;

/** Refusals; what they write is all of the answer. */
const refusals: Readonly<Partial<Record<RawFault, (call: RawCall) => string>>> = {
    [RawFault.Refused]: ({ names }) => refusalOf([names]),
    [RawFault.RefusedUnnamed]: () => refusalOf([]),
};

type Answer = (socket: Socket, run: RawRun, call: RawCall) => void;
const answerWhole: Answer = (socket, run) => void socket.write(wholeOf(run));

const answers = {
    [RawFault.Whole]: answerWhole,
    [RawFault.Refused]: answerWhole,
    [RawFault.RefusedUnnamed]: answerWhole,
    [RawFault.Chunked]: (socket, { names, body }) => {
        const chunk = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
        socket.write(textOf("200 OK", [names, "transfer-encoding: chunked"], chunk));
    },
    [RawFault.Unframed]: (socket, { names, body }) => void socket.end(textOf("200 OK", [names], body)),
    [RawFault.Unnamed]: (socket, { body }) => {
        socket.write(textOf("200 OK", [`content-length: ${body.length}`], body));
    },
    [RawFault.Twice]: (socket, run) => void socket.write(wholeOf(run) + wholeOf(run)),
    [RawFault.Late]: (socket, run, { amount }) => {
        socket.write(wholeOf(run));
        setTimeout(() => socket.write(wholeOf(run)), amount / 2);
    },
    [RawFault.Cut]: (socket, run, { amount }) => void socket.end(part(wholeOf(run), amount)),
    [RawFault.Reset]: (socket, run, { amount }) => {
        socket.write(part(wholeOf(run), amount));
        setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    },
    [RawFault.UnframedReset]: (socket, { names, body }, { amount }) => {
        socket.write(part(textOf("200 OK", [names, "connection: close"], body), amount));
        setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    },
    [RawFault.Repeated]: (socket, run, { amount, last }) => {
        socket.write(last);
        setTimeout(() => socket.write(wholeOf(run)), amount / 4);
    },
    [RawFault.Merged]: (socket, { names, body }, { last }) => {
        const rest = last === "" ? wholeOf({ callId: "none", names: noNames, body }) : last;
        socket.write(`HTTP/1.1 200 OK\r\n${names}\r\nx-note: ${rest}`);
    },
    [RawFault.RefusalStops]: (socket, run) => {
        socket.write(`HTTP/1.1 503 Busy\r\n${outcome}\r\nx-note: sto${wholeOf(run)}`);
    },
    [RawFault.StatusStops]: (socket, { names, body }) => {
        socket.write(
            `HTTP/1.1 200 O${textOf("500 Failed", [names, `content-length: ${body.length}`], body)}`,
        );
    },
    [RawFault.HeadAgain]: (socket, run) => {
        socket.write(`HTTP/1.1 200 OK\r\n${run.names}\r\nx-note: sto${wholeOf(run)}`);
    },
    [RawFault.RefusalBehind]: (socket, { names }) => {
        socket.write(`HTTP/1.1 200 OK\r\n${names}\r\nx-note: sto${refusalOf([])}`);
    },
    [RawFault.Garbage]: socket => void socket.write("hello\r\n\r\n"),
} satisfies Record<RawFault, Answer>;

const requestPattern = /^\w+ (?:\/orders)?\/(\w+)\/(\d+)\S* HTTP[^]*?\r\ntanagertray-call-id: (\S+)\r\n/;

/** A backend server that writes its answers byte by byte. A call `/<fault>/<amount>` says what it does; it has no body. */
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
        const names = namesIn(head, callId);
        const call = { names, amount: Number(amount), last };
        const refuse = refusals[fault as RawFault];
        if (refuse !== undefined) {
            socket.write(refuse(call));
            return refuse(call);
        }
        const run = { callId, names, body: `answer ${runs.length + 1} to ${callId}` };
        runs.push(run);
        answers[fault as RawFault](socket, run, call);
        return wholeOf(run);
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
