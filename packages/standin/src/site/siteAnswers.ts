import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { writeUntilClosed } from "./endlessWrite.js";
import { createRunBody } from "./runBody.js";
import type { SiteState } from "./siteServer.js";
import { AnswerMode, type SiteRun } from "./siteRun.js";

export const answerBody = "answer of the backend server";

/** With the query parameter `size`, a body of this size that is unique to the run; otherwise the fixed short body. */
function responseBody(run: SiteRun, { options }: SiteState): string {
    const size = new URL(run.url, "http://server").searchParams.get("size");
    return size === null ? answerBody : createRunBody({ ...run, server: options.id, size: Number(size) });
}

function responseHeaders(
    { id, number, hash }: SiteRun,
    { running, options }: SiteState,
): Record<string, string> {
    return {
        "x-attempt-id": id,
        "x-run": String(number),
        "x-server": options.id,
        "x-body-hash": hash,
        "x-server-signature": "3e1b.07.5a2.600.0.c9f2a4d1",
        "x-server-load": `${running},0,${options.slots}`,
    };
}

function sendComplete(response: ServerResponse, run: SiteRun, state: SiteState): void {
    const body = responseBody(run, state);
    response.writeHead(200, { ...responseHeaders(run, state), "content-length": body.length });
    response.end(body);
}

/** Writes a response directly to the socket, because Node's HTTP server would not send a malformed one. */
function writeRaw(response: ServerResponse, head: readonly string[], body: string): Socket | undefined {
    const socket = response.socket ?? undefined;
    socket?.write(`HTTP/1.1 200 OK\r\n${head.join("\r\n")}\r\n\r\n${body}`);
    return socket;
}

function headerLines(run: SiteRun, state: SiteState): string[] {
    return Object.entries(responseHeaders(run, state)).map(([name, value]) => `${name}: ${value}`);
}

const statusLine = "HTTP/1.1 200 OK\r\n";

function completeResponseText(run: SiteRun, state: SiteState): string {
    const body = responseBody(run, state);
    const lines = [...headerLines(run, state), `content-length: ${body.length}`];
    return `${statusLine}${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Head of a response with chunked transfer encoding, up to its first chunk. */
function chunkedHead(run: SiteRun, state: SiteState): string {
    return `${statusLine}${headerLines(run, state).join("\r\n")}\r\ntransfer-encoding: chunked\r\n\r\n`;
}

/** First half of the head of a complete response. */
function halfHead(run: SiteRun, state: SiteState): string {
    const text = completeResponseText(run, state);
    return text.slice(0, text.indexOf("\r\n\r\n") / 2);
}

/** Delay before the connection is closed or reset, so that the daemon receives the bytes before that. */
const closeDelayMs = 20;

/** Delay before the second response of `DuplicatedLate`. */
const duplicateDelayMs = 60;

/** Pause within the response of `Paused`. */
const pauseMs = 6_000;

type Answer = (response: ServerResponse, run: SiteRun, state: SiteState) => void;

/** Creates a handler that writes `start` and then repeats `part` until the connection is closed. */
function endless(start: (run: SiteRun, state: SiteState) => string, part: string): Answer {
    return ({ socket }, run, state) => {
        if (socket !== null) {
            writeUntilClosed(socket, {
                start: start(run, state),
                part,
                onWrite: bytes => (state.endlessBytesWritten += bytes),
            });
        }
    };
}

const emptyStart = () => "";

export const answers = {
    [AnswerMode.Complete]: sendComplete,
    [AnswerMode.Shed]: sendComplete,
    [AnswerMode.Replaced]: sendComplete,
    [AnswerMode.Early]: sendComplete,
    [AnswerMode.Truncated]: (response, run, state) => {
        const body = responseBody(run, state);
        const lines = [...headerLines(run, state), `content-length: ${body.length + 10}`];
        const socket = writeRaw(response, lines, body);
        setTimeout(() => socket?.end(), closeDelayMs);
    },
    [AnswerMode.UnframedReset]: (response, run, state) => {
        const socket = writeRaw(
            response,
            [...headerLines(run, state), "connection: close"],
            responseBody(run, state),
        );
        setTimeout(() => socket?.resetAndDestroy(), closeDelayMs);
    },
    [AnswerMode.Unframed]: (response, run, state) => {
        const socket = writeRaw(
            response,
            [...headerLines(run, state), "connection: close"],
            responseBody(run, state),
        );
        setTimeout(() => socket?.end(), closeDelayMs);
    },
    [AnswerMode.WrongId]: (response, run, state) => {
        sendComplete(response, { ...run, id: "of-another-call" }, state);
    },
    [AnswerMode.Unsigned]: (response, run, state) => {
        response.writeHead(200, { "x-attempt-id": run.id }).end(responseBody(run, state));
    },
    [AnswerMode.Encoded]: (response, run, state) => {
        response
            .writeHead(200, { ...responseHeaders(run, state), "content-encoding": "gzip" })
            .end(responseBody(run, state));
    },
    [AnswerMode.EncodedInSecondHeader]: (response, run, state) => {
        const codings = ["content-encoding: identity", "content-encoding: gzip"];
        const lines = [...headerLines(run, state), ...codings, `content-length: ${answerBody.length}`];
        writeRaw(response, lines, answerBody);
    },
    [AnswerMode.Duplicated]: (response, run, state) => {
        response.socket?.write(`${completeResponseText(run, state)}${completeResponseText(run, state)}`);
    },
    [AnswerMode.Paused]: (response, run, state) => {
        const body = responseBody(run, state);
        const middle = Math.floor(body.length / 2);
        response.writeHead(200, { ...responseHeaders(run, state), "content-length": body.length });
        response.write(body.slice(0, middle));
        setTimeout(() => response.end(body.slice(middle)), pauseMs);
    },
    [AnswerMode.DuplicatedLate]: (response, run, state) => {
        const { socket } = response;
        sendComplete(response, run, state);
        setTimeout(() => socket?.write(completeResponseText(run, state)), duplicateDelayMs);
    },
    [AnswerMode.RepeatedRefusal]: ({ socket }) => socket?.write(previousRefusals.get(socket) ?? ""),
    [AnswerMode.RepeatedRefusalWithoutId]: ({ socket }) => socket?.write(previousRefusals.get(socket) ?? ""),
    [AnswerMode.ShedWithoutId]: sendComplete,
    [AnswerMode.UnknownCodingReset]: (response, run, state) => {
        const socket = writeRaw(
            response,
            [...headerLines(run, state), "transfer-encoding: x-other"],
            responseBody(run, state),
        );
        setTimeout(() => socket?.resetAndDestroy(), closeDelayMs);
    },
    [AnswerMode.RestartedHead]: (response, run, state) => {
        const start = `${statusLine}${headerLines(run, state).join("\r\n")}\r\nx-note: `;
        response.socket?.write(`${start}${completeResponseText({ ...run, id: "of-another-call" }, state)}`);
    },
    [AnswerMode.TruncatedRefusalStatus]: ({ socket }, run, state) => {
        socket?.write(`HTTP/1.1 421 Misdir${completeResponseText(run, state)}`);
    },
    [AnswerMode.TruncatedRefusalHeader]: ({ socket }, run, state) => {
        socket?.write(`HTTP/1.1 503 Busy\r\nx-not-executed: 1${completeResponseText(run, state)}`);
    },
    [AnswerMode.TruncatedStatus]: ({ socket }, run, state) => {
        socket?.write(`HTTP/1.1 200 O${completeResponseText(run, state).replace("200 OK", "500 Failed")}`);
    },
    [AnswerMode.TruncatedHead]: ({ socket }, run, state) => void socket?.end(halfHead(run, state)),
    [AnswerMode.TruncatedHeadReset]: ({ socket }, run, state) => {
        socket?.write(halfHead(run, state));
        setTimeout(() => socket?.resetAndDestroy(), closeDelayMs);
    },
    [AnswerMode.EndlessStatus]: endless(() => "HTTP/1.1 200 ", "O".repeat(1_000)),
    [AnswerMode.EndlessHeader]: endless(() => `${statusLine}x-note: `, "n".repeat(1_000)),
    [AnswerMode.EndlessHeaders]: endless(() => statusLine, "x-note: n\r\n"),
    [AnswerMode.EndlessInterimResponses]: endless(emptyStart, "HTTP/1.1 102 Processing\r\n\r\n".repeat(50)),
    [AnswerMode.EndlessLineBreaks]: endless(emptyStart, "\r\n".repeat(500)),
    [AnswerMode.EndlessChunks]: endless(chunkedHead, `3e8\r\n${"b".repeat(1_000)}\r\n`),
    [AnswerMode.EndlessChunkExtension]: endless(
        (run, state) => `${chunkedHead(run, state)}5\r\nhello\r\n5;note=`,
        "n".repeat(1_000),
    ),
    [AnswerMode.EndlessTrailers]: endless(
        (run, state) => `${chunkedHead(run, state)}5\r\nhello\r\n0\r\n`,
        "x-note: n\r\n",
    ),
    [AnswerMode.EndlessBody]: endless(
        (run, state) => `${statusLine}${headerLines(run, state).join("\r\n")}\r\n\r\n`,
        "b".repeat(1_000),
    ),
    [AnswerMode.EndlessRefusal]: endless(
        ({ id }) =>
            `HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: ${id}\r\nx-not-executed: 1\r\n` +
            "transfer-encoding: chunked\r\n\r\n",
        `3e8\r\n${"b".repeat(1_000)}\r\n`,
    ),
    [AnswerMode.EndlessLineBreaksAfter]: endless(completeResponseText, "\r\n".repeat(500)),
    [AnswerMode.LostAnswer]: response => void response.socket?.resetAndDestroy(),
    [AnswerMode.UnspecifiedOutcome]: (response, run, state) => {
        response.writeHead(503, responseHeaders(run, state)).end();
    },
} satisfies Record<AnswerMode, Answer>;

interface Refusal {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
}

const shedRefusal: Refusal = { status: 503, headers: { "x-not-executed": "1" } };

/** `omitsId` leaves out the attempt id; `firstCallOnly` refuses only the first call of a connection. */
const refusals: {
    readonly [K in AnswerMode]?: Refusal & { readonly omitsId?: true; readonly firstCallOnly?: true };
} = {
    [AnswerMode.Shed]: shedRefusal,
    [AnswerMode.ShedWithoutId]: { ...shedRefusal, omitsId: true },
    [AnswerMode.Replaced]: { status: 421, headers: { "x-instance-id": "i-other" } },
    [AnswerMode.RepeatedRefusal]: { ...shedRefusal, firstCallOnly: true },
    [AnswerMode.RepeatedRefusalWithoutId]: { ...shedRefusal, omitsId: true, firstCallOnly: true },
};

/** Text of the latest refusal of each connection, for the modes that send it again. */
const previousRefusals = new WeakMap<Socket, string>();

/** Returns the refusal of a call in this mode and remembers it for the connection; `undefined` if the call runs. */
export function prepareRefusal(mode: AnswerMode, id: string, socket: Socket): Refusal | undefined {
    const refusal = refusals[mode];
    if (refusal === undefined || (refusal.firstCallOnly === true && previousRefusals.has(socket))) {
        return undefined;
    }
    const { status, omitsId } = refusal;
    const headers = { ...refusal.headers, ...(omitsId === true ? {} : { "x-attempt-id": id }) };
    const lines = Object.entries({ ...headers, "content-length": "0" }).map(
        ([name, text]) => `${name}: ${text}`,
    );
    previousRefusals.set(socket, `HTTP/1.1 ${status} Refused\r\n${lines.join("\r\n")}\r\n\r\n`);
    return { status, headers };
}
