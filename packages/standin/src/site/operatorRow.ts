/** Name by which clients address every service of the stand-in. */
export const siteHostName = "orders.example";

export interface OperatorRowOptions {
    readonly version: number;
    readonly services: readonly string[];
    /**
     * Further routes that no client uses.
     * @default 0
     */
    readonly idleRoutes?: number;
    /**
     * Kinds of route of each service.
     * @default ["safe"]
     */
    readonly kinds?: readonly string[];
    /**
     * Time-out of the routes, in milliseconds.
     * @default 5000
     */
    readonly timeoutMs?: number;
    /**
     * Whether a route `/v<version>/` to the first service tells the version in force.
     * @default false
     */
    readonly marked?: boolean;
}

/**
 * The operator's configuration row with a route `/<kind>-<service>/` for each kind and service.
 *
 * @example
 * ```ts
 * store.put("op", "config", createOperatorRow({ version: 1, services: ["stock"], idleRoutes: 300 }));
 * ```
 */
export function createOperatorRow(options: OperatorRowOptions): unknown {
    const {
        version,
        services,
        idleRoutes = 0,
        kinds = ["safe"],
        timeoutMs = 5_000,
        marked = false,
    } = options;
    const rule = (kind: string, prefix: string, service: string | undefined) => ({
        name: prefix,
        kind,
        "target-latency": "400ms",
        priority: 1,
        "match-criteria": { prefix: `/${prefix}/` },
        "route-action": { service, timeout: `${timeoutMs}ms`, "retry-attempts": 2 },
    });
    const idle = Array.from({ length: idleRoutes }, (_, at) =>
        rule("safe", `idle-${at}`, services[at % services.length]),
    );
    return {
        version,
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 67_108_864,
            "header-timeout": "3000ms",
            "idle-timeout": "15000ms",
        },
        listeners: [
            {
                hostname: siteHostName,
                "rule-set": [
                    ...kinds.flatMap(kind =>
                        services.map(service => rule(kind, `${kind}-${service}`, service)),
                    ),
                    ...(marked ? [rule("safe", `v${version}`, services[0])] : []),
                    ...idle,
                ],
            },
        ],
        clusters: services.map(name => ({
            name,
            "health-check-path": "/health",
            "connection-limit": 490,
            protocol: "h1",
            tls: false,
        })),
    };
}
