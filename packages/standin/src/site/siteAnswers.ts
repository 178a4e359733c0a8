import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { flood } from "./flood.js";
import { createRunBody } from "./runBody.js";
import type { SiteState } from "./siteServer.js";
import { AnswerMode, type SiteRun } from "./siteRun.js";

export const answerBody = "answer of the backend server";

/** Body of the answer: unique to the run and of the size that the call asks for, or short and always the same. */
function bodyOf(run: SiteRun, { options }: SiteState): string {
    const size = new URL(run.url, "http://server").searchParams.get("size");
    return size === null ? answerBody : createRunBody({ ...run, server: options.id, size: Number(size) });
}

function headersOf({ id, number, hash }: SiteRun, { running, options }: SiteState): Record<string, string> {
    return {
        "x-attempt-id": id,
        "x-run": String(number),
        "x-server": options.id,
        "x-body-hash": hash,
        "x-server-signature": "3e1b.07.5a2.600.0.c9f2a4d1",
        "x-server-load": `${running},0,${options.slots}`,
    };
}

function answerWhole(response: ServerResponse, run: SiteRun, state: SiteState): void {
    const body = bodyOf(run, state);
    response.writeHead(200, { ...headersOf(run, state), "content-length": body.length });
    response.end(body);
}

/** Writes bytes to the connection beside the HTTP library, which would not send such an answer. */
function writeRaw(response: ServerResponse, head: readonly string[], body: string): Socket | undefined {
    const socket = response.socket ?? undefined;
    socket?.write(`HTTP/1.1 200 OK\r\n${head.join("\r\n")}\r\n\r\n${body}`);
    return socket;
}

function headLines(run: SiteRun, state: SiteState): string[] {
    return Object.entries(headersOf(run, state)).map(([name, value]) => `${name}: ${value}`);
}

const statusLine = "HTTP/1.1 200 OK\r\n";

function wholeText(run: SiteRun, state: SiteState): string {
    const body = bodyOf(run, state);
    const lines = [...headLines(run, state), `content-length: ${body.length}`];
    return `${statusLine}${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Head of an answer in chunks, which ends where its first chunk begins. */
function chunkedHead(run: SiteRun, state: SiteState): string {
    return `${statusLine}${headLines(run, state).join("\r\n")}\r\ntransfer-encoding: chunked\r\n\r\n`;
}

/** The first half of the head of a whole answer. */
function halfHead(run: SiteRun, state: SiteState): string {
    const text = wholeText(run, state);
    return text.slice(0, text.indexOf("\r\n\r\n") / 2);
}

/** Time between the bytes of a cut answer and its cut, so that both reach the daemon apart, in milliseconds. */
const cutAfterMs = 20;

/** Time between an answer and its late copy, in milliseconds. */
const lateCopyMs = 60;

type Answer = (response: ServerResponse, run: SiteRun, state: SiteState) => void;

/** Writes an answer without end that begins with `start`. */
function endless(start: (run: SiteRun, state: SiteState) => string, part: string): Answer {
    return ({ socket }, run, state) => {
        if (socket !== null) {
            flood(socket, { start: start(run, state), part, count: bytes => (state.flooded += bytes) });
        }
    };
}

const nothing = () => "";

export const answers = {
    [AnswerMode.Whole]: answerWhole,
    [AnswerMode.Shed]: answerWhole,
    [AnswerMode.Replaced]: answerWhole,
    [AnswerMode.Early]: answerWhole,
    [AnswerMode.Truncated]: (response, run, state) => {
        const body = bodyOf(run, state);
        const lines = [...headLines(run, state), `content-length: ${body.length + 10}`];
        const socket = writeRaw(response, lines, body);
        setTimeout(() => socket?.end(), cutAfterMs);
    },
    [AnswerMode.UnframedReset]: (response, run, state) => {
        const socket = writeRaw(
            response,
            [...headLines(run, state), "connection: close"],
            bodyOf(run, state),
        );
        setTimeout(() => socket?.resetAndDestroy(), cutAfterMs);
    },
    [AnswerMode.Unframed]: (response, run, state) => {
        const socket = writeRaw(
            response,
            [...headLines(run, state), "connection: close"],
            bodyOf(run, state),
        );
        setTimeout(() => socket?.end(), cutAfterMs);
    },
    [AnswerMode.OtherId]: (response, run, state) => {
        answerWhole(response, { ...run, id: "of-another-call" }, state);
    },
    [AnswerMode.Unsigned]: (response, run, state) => {
        response.writeHead(200, { "x-attempt-id": run.id }).end(bodyOf(run, state));
    },
    [AnswerMode.Encoded]: (response, run, state) => {
        response
            .writeHead(200, { ...headersOf(run, state), "content-encoding": "gzip" })
            .end(bodyOf(run, state));
    },
    [AnswerMode.EncodedLater]: (response, run, state) => {
        const codings = ["content-encoding: identity", "content-encoding: gzip"];
        const lines = [...headLines(run, state), ...codings, `content-length: ${answerBody.length}`];
        writeRaw(response, lines, answerBody);
    },
    [AnswerMode.Twice]: (response, run, state) => {
        response.socket?.write(`${wholeText(run, state)}${wholeText(run, state)}`);
    },
    [AnswerMode.TwiceLate]: (response, run, state) => {
        const { socket } = response;
        answerWhole(response, run, state);
        setTimeout(() => socket?.write(wholeText(run, state)), lateCopyMs);
    },
    [AnswerMode.RefusedAgain]: ({ socket }) => socket?.write(refusedBefore.get(socket) ?? ""),
    [AnswerMode.BareRefusedAgain]: ({ socket }) => socket?.write(refusedBefore.get(socket) ?? ""),
    [AnswerMode.BareShed]: answerWhole,
    [AnswerMode.CodedReset]: (response, run, state) => {
        const socket = writeRaw(
            response,
            [...headLines(run, state), "transfer-encoding: x-other"],
            bodyOf(run, state),
        );
        setTimeout(() => socket?.resetAndDestroy(), cutAfterMs);
    },
    [AnswerMode.HeadTwice]: (response, run, state) => {
        const start = `${statusLine}${headLines(run, state).join("\r\n")}\r\nx-note: `;
        response.socket?.write(`${start}${wholeText({ ...run, id: "of-another-call" }, state)}`);
    },
    [AnswerMode.RefusalStops]: ({ socket }, run, state) => {
        socket?.write(`HTTP/1.1 421 Misdir${wholeText(run, state)}`);
    },
    [AnswerMode.RefusalStopsLater]: ({ socket }, run, state) => {
        socket?.write(`HTTP/1.1 503 Busy\r\nx-not-executed: 1${wholeText(run, state)}`);
    },
    [AnswerMode.StatusStops]: ({ socket }, run, state) => {
        socket?.write(`HTTP/1.1 200 O${wholeText(run, state).replace("200 OK", "500 Failed")}`);
    },
    [AnswerMode.HeadCut]: ({ socket }, run, state) => void socket?.end(halfHead(run, state)),
    [AnswerMode.HeadReset]: ({ socket }, run, state) => {
        socket?.write(halfHead(run, state));
        setTimeout(() => socket?.resetAndDestroy(), cutAfterMs);
    },
    [AnswerMode.EndlessStatus]: endless(() => "HTTP/1.1 200 ", "O".repeat(1_000)),
    [AnswerMode.EndlessHeader]: endless(() => `${statusLine}x-note: `, "n".repeat(1_000)),
    [AnswerMode.EndlessHeaders]: endless(() => statusLine, "x-note: n\r\n"),
    [AnswerMode.EndlessInformation]: endless(nothing, "HTTP/1.1 102 Processing\r\n\r\n".repeat(50)),
    [AnswerMode.EndlessBreaks]: endless(nothing, "\r\n".repeat(500)),
    [AnswerMode.EndlessChunks]: endless(chunkedHead, `3e8\r\n${"b".repeat(1_000)}\r\n`),
    [AnswerMode.EndlessExtension]: endless(
        (run, state) => `${chunkedHead(run, state)}5\r\nhello\r\n5;note=`,
        "n".repeat(1_000),
    ),
    [AnswerMode.EndlessTrailers]: endless(
        (run, state) => `${chunkedHead(run, state)}5\r\nhello\r\n0\r\n`,
        "x-note: n\r\n",
    ),
    [AnswerMode.EndlessBody]: endless(
        (run, state) => `${statusLine}${headLines(run, state).join("\r\n")}\r\n\r\n`,
        "b".repeat(1_000),
    ),
    [AnswerMode.EndlessRefusal]: endless(
        ({ id }) =>
            `HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: ${id}\r\nx-not-executed: 1\r\n` +
            "transfer-encoding: chunked\r\n\r\n",
        `3e8\r\n${"b".repeat(1_000)}\r\n`,
    ),
    [AnswerMode.EndlessAfter]: endless(wholeText, "\r\n".repeat(500)),
    [AnswerMode.LostAnswer]: response => void response.socket?.resetAndDestroy(),
    [AnswerMode.BarePromise]: (response, run, state) => {
        response.writeHead(503, headersOf(run, state)).end();
    },
} satisfies Record<AnswerMode, Answer>;

interface Refusal {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
}

const shed: Refusal = { status: 503, headers: { "x-not-executed": "1" } };

/** Refusals by mode, and whether they carry the id of the call. */
const refusals: { readonly [K in AnswerMode]?: Refusal & { readonly bare?: true; readonly once?: true } } = {
    [AnswerMode.Shed]: shed,
    [AnswerMode.BareShed]: { ...shed, bare: true },
    [AnswerMode.Replaced]: { status: 421, headers: { "x-instance-id": "i-other" } },
    [AnswerMode.RefusedAgain]: { ...shed, once: true },
    [AnswerMode.BareRefusedAgain]: { ...shed, bare: true, once: true },
};

/** Refusals that are written once more, by connection. */
const refusedBefore = new WeakMap<Socket, string>();

/** Refusal of a call in this mode; `undefined` when the call runs. */
export function takeRefusal(mode: AnswerMode, id: string, socket: Socket): Refusal | undefined {
    const refused = refusals[mode];
    if (refused === undefined || (refused.once === true && refusedBefore.has(socket))) {
        return undefined;
    }
    const { status, bare } = refused;
    const headers = { ...refused.headers, ...(bare === true ? {} : { "x-attempt-id": id }) };
    const lines = Object.entries({ ...headers, "content-length": "0" }).map(
        ([name, text]) => `${name}: ${text}`,
    );
    refusedBefore.set(socket, `HTTP/1.1 ${status} Refused\r\n${lines.join("\r\n")}\r\n\r\n`);
    return { status, headers };
}
