import { performance } from "node:perf_hooks";
import { HostState, ReadinessState } from "@tanagertray/core";
import type { Board } from "../../board.js";
import type { KindTraffic } from "../peers/traffic.js";
import { labelSeparator, type Counters, type DurationSummary } from "./counters.js";
import { Access, type EndpointTable } from "./endpoint.js";
import { listKnownHosts } from "./knownHosts.js";
import { sendText } from "./responses.js";

interface Sample {
    readonly suffix?: string;
    readonly labels?: Readonly<Record<string, string>>;
    readonly value: number;
}

interface Metric {
    readonly name: string;
    readonly type: "counter" | "gauge" | "summary";
    readonly help: string;
    read(source: MetricsSource): readonly Sample[];
}

export interface MetricsSource {
    readonly board: Board;
    readonly counters: Counters;
}

const quantiles = [0.5, 0.9, 0.99, 0.999];

/** All metrics, in output order. */
const metrics: readonly Metric[] = [
    {
        name: "tanagertray_configuration_version",
        type: "gauge",
        help: "Configuration version that this host holds.",
        read: ({ board }) => [{ value: board.read("configuration").held?.manifest.version ?? 0 }],
    },
    {
        name: "tanagertray_rejected_version",
        type: "gauge",
        help: "Last configuration version that this host refused as a whole, 0 for none.",
        read: ({ board }) => [{ value: board.read("configuration").rejected?.version ?? 0 }],
    },
    {
        name: "tanagertray_head_version",
        type: "gauge",
        help: "Accepted version by the last read of the head row.",
        read: ({ board }) => [{ value: board.read("platformState").head?.version ?? 0 }],
    },
    {
        name: "tanagertray_readiness",
        type: "gauge",
        help: "1 for the readiness state of this host, 0 for the others.",
        read: ({ board }) =>
            Object.values(ReadinessState).map(state => ({
                labels: { state },
                value: Number(board.read("readiness").state === state),
            })),
    },
    {
        name: "tanagertray_platform_reachable",
        type: "gauge",
        help: "1 while the platform answers.",
        read: ({ board }) => [{ value: Number(board.read("platformState").reachable) }],
    },
    {
        name: "tanagertray_hosts",
        type: "gauge",
        help: "Known hosts by state.",
        read: ({ board }) => countByState(listKnownHosts(board), Object.values(HostState)),
    },
    {
        name: "tanagertray_peer_links",
        type: "gauge",
        help: "Open links to other daemons.",
        read: ({ board }) => [{ value: board.read("peerLinks").size }],
    },
    {
        name: "tanagertray_peer_bytes_total",
        type: "counter",
        help: "Bytes of messages on the links between daemons.",
        read: ({ board }) => trafficSamples(board, { in: "bytesIn", out: "bytesOut" }),
    },
    {
        name: "tanagertray_peer_messages_total",
        type: "counter",
        help: "Messages on the links between daemons.",
        read: ({ board }) => trafficSamples(board, { in: "messagesIn", out: "messagesOut" }),
    },
    {
        name: "tanagertray_backend_servers",
        type: "gauge",
        help: "Backend servers of this host by state.",
        read: ({ board }) => countByState(board.read("backendServers").values(), ["serving", "draining"]),
    },
    {
        name: "tanagertray_events_total",
        type: "counter",
        help: "Events by name.",
        read: ({ counters }) =>
            [...counters.events()].map(([event, value]) => ({ labels: { event }, value })),
    },
    {
        name: "tanagertray_answers_rejected_total",
        type: "counter",
        help: "Responses to calls that were not passed on, or not to their end, by cause.",
        read: ({ counters }) =>
            [...counters.rejections()].map(([cause, value]) => ({ labels: { cause }, value })),
    },
    {
        name: "tanagertray_feed_dropped_total",
        type: "counter",
        help: "Entries that a full section dropped.",
        read: ({ board }) => [...board.dropped()].map(([feed, value]) => ({ labels: { feed }, value })),
    },
    {
        name: "tanagertray_span_duration_seconds",
        type: "summary",
        help: "Duration of spans by name.",
        read: spanDurationSamples,
    },
    {
        name: "tanagertray_span_failures_total",
        type: "counter",
        help: "Failed spans by name.",
        read: ({ counters }) =>
            [...counters.spans()].map(([span, { failures }]) => ({ labels: { span }, value: failures })),
    },
    {
        name: "tanagertray_call_refusals_total",
        type: "counter",
        help: "Refused calls and failed attempts by place and reason.",
        read: ({ counters }) => labelPairSamples(counters.refusals(), ["at", "reason"]),
    },
    {
        name: "tanagertray_calls_unserved_total",
        type: "counter",
        help: "Calls without a complete answer by result and reason.",
        read: ({ counters }) => labelPairSamples(counters.unserved(), ["result", "reason"]),
    },
    {
        name: "tanagertray_call_stage_duration_seconds",
        type: "summary",
        help: "Stages of calls by span and stage.",
        read: ({ counters }) =>
            [...counters.spans()].flatMap(([span, { stages }]) =>
                Object.entries(stages).flatMap(([stage, durations]) =>
                    summarySamples({ span, stage }, durations),
                ),
            ),
    },
    {
        name: "tanagertray_call_queue_duration_seconds",
        type: "summary",
        help: "Waits for a slot of a backend server of this host by service.",
        read: ({ counters }) =>
            [...counters.waits()].flatMap(([service, durations]) => summarySamples({ service }, durations)),
    },
    {
        name: "tanagertray_event_loop_lag_seconds",
        type: "summary",
        help: "How late the ticks of the clock came.",
        read({ counters }) {
            const lag = counters.loopLag();
            return lag === undefined ? [] : summarySamples({}, lag);
        },
    },
    {
        name: "tanagertray_event_loop_active_seconds_total",
        type: "counter",
        help: "Time in which the event loop did not wait for events.",
        read: () => [{ value: performance.eventLoopUtilization().active / 1e3 }],
    },
    {
        name: "process_resident_memory_bytes",
        type: "gauge",
        help: "Resident set size.",
        read: () => [{ value: process.memoryUsage.rss() }],
    },
    {
        name: "process_cpu_seconds_total",
        type: "counter",
        help: "Processor time used.",
        read: () => {
            const { user, system } = process.cpuUsage();
            return [{ value: (user + system) / 1e6 }];
        },
    },
];

export function metricsEndpoints(source: MetricsSource): EndpointTable {
    return {
        "GET /metrics": {
            access: Access.Anyone,
            handle: ({ response }) =>
                sendText(response, 200, "text/plain; version=0.0.4; charset=utf-8", renderMetrics(source)),
        },
    };
}

/** Renders all metrics in the Prometheus text format. */
export function renderMetrics(source: MetricsSource): string {
    return metrics.map(metric => renderMetric(metric, source)).join("");
}

function renderMetric(metric: Metric, source: MetricsSource): string {
    const lines = metric.read(source).map(({ suffix = "", labels = {}, value }) => {
        const pairs = Object.entries(labels).map(([label, text]) => `${label}="${escapeLabel(text)}"`);
        const labelSet = pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
        return `${metric.name}${suffix}${labelSet} ${value}\n`;
    });
    return `# HELP ${metric.name} ${metric.help}\n# TYPE ${metric.name} ${metric.type}\n${lines.join("")}`;
}

function escapeLabel(text: string): string {
    return text.replaceAll("\\", "\\\\").replaceAll('"', '\\"').replaceAll("\n", "\\n");
}

function countByState(
    entries: Iterable<{ readonly state: string }>,
    states: readonly string[],
): readonly Sample[] {
    const counts = new Map(states.map(state => [state, 0]));
    for (const { state } of entries) {
        counts.set(state, (counts.get(state) ?? 0) + 1);
    }
    return [...counts].map(([state, value]) => ({ labels: { state }, value }));
}

function trafficSamples(
    board: Board,
    fields: Readonly<Record<"in" | "out", keyof KindTraffic>>,
): readonly Sample[] {
    const { sameRegion, crossRegion } = board.read("peerTraffic");
    return Object.entries({ same: sameRegion, other: crossRegion }).flatMap(([region, kinds]) =>
        [...kinds].flatMap(([kind, traffic]) =>
            Object.entries(fields).map(([direction, field]) => ({
                labels: { kind, direction, region },
                value: traffic[field],
            })),
        ),
    );
}

function spanDurationSamples({ counters }: MetricsSource): readonly Sample[] {
    return [...counters.spans()].flatMap(([span, durations]) => summarySamples({ span }, durations));
}

function summarySamples(
    labels: Readonly<Record<string, string>>,
    { histogram, totalMs }: DurationSummary,
): readonly Sample[] {
    return [
        ...quantiles.map(quantile => ({
            labels: { ...labels, quantile: String(quantile) },
            value: histogram.getValueAtPercentile(quantile * 100) / 1e6,
        })),
        { suffix: "_sum", labels, value: totalMs / 1e3 },
        { suffix: "_count", labels, value: histogram.totalCount },
    ];
}

/** Converts counts whose keys join two label values into samples with both labels. */
function labelPairSamples(
    counts: ReadonlyMap<string, number>,
    [firstLabel, secondLabel]: readonly [string, string],
): readonly Sample[] {
    return [...counts].map(([key, value]) => {
        const [firstValue = "", secondValue = ""] = key.split(labelSeparator);
        return { labels: { [firstLabel]: firstValue, [secondLabel]: secondValue }, value };
    });
}
