/** Host name that clients use for every service. */
export const siteHostName = "orders.example";

export interface OperatorRowOptions {
    readonly version: number;
    readonly services: readonly string[];
    /**
     * Number of additional routes that no client uses.
     * @default 0
     */
    readonly idleRoutes?: number;
    /**
     * Route kinds created for each service.
     * @default ["safe"]
     */
    readonly kinds?: readonly string[];
    /**
     * Timeout of the routes, in milliseconds.
     * @default 5000
     */
    readonly timeoutMs?: number;
    /**
     * Whether to add a route `/v<version>/` to the first service, which shows clients the version in force.
     * @default false
     */
    readonly hasVersionRoute?: boolean;
}

/**
 * Creates the operator's configuration row, with a route `/<kind>-<service>/` for each kind and service.
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
        hasVersionRoute = false,
    } = options;
    const createRule = (kind: string, prefix: string, service: string | undefined) => ({
        name: prefix,
        kind,
        "target-latency": "400ms",
        priority: 1,
        "match-criteria": { prefix: `/${prefix}/` },
        "route-action": { service, timeout: `${timeoutMs}ms`, "retry-attempts": 2 },
    });
    const idleRules = Array.from({ length: idleRoutes }, (_, index) =>
        createRule("safe", `idle-${index}`, services[index % services.length]),
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
                        services.map(service => createRule(kind, `${kind}-${service}`, service)),
                    ),
                    ...(hasVersionRoute ? [createRule("safe", `v${version}`, services[0])] : []),
                    ...idleRules,
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
