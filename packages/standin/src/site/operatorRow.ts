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
}

/**
 * The operator's configuration row with a safe route `/safe-<service>/` for each service.
 *
 * @example
 * ```ts
 * store.put("op", "config", createOperatorRow({ version: 1, services: ["stock"], idleRoutes: 300 }));
 * ```
 */
export function createOperatorRow({ version, services, idleRoutes = 0 }: OperatorRowOptions): unknown {
    const rule = (name: string, prefix: string, service: string | undefined) => ({
        name,
        kind: "safe",
        "target-latency": "400ms",
        priority: 1,
        "match-criteria": { prefix },
        "route-action": { service, timeout: "5000ms", "retry-attempts": 2 },
    });
    const idle = Array.from({ length: idleRoutes }, (_, at) =>
        rule(`idle-${at}`, `/idle-${at}/`, services[at % services.length]),
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
                    ...services.map(service => rule(`safe-${service}`, `/safe-${service}/`, service)),
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
