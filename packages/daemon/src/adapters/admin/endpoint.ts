import type { IncomingMessage, ServerResponse } from "node:http";

export interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
}

/** Who may call an endpoint. */
export const Access = { Anyone: "anyone", Operator: "operator", BackendServer: "backendServer" } as const;
export type Access = (typeof Access)[keyof typeof Access];

export interface Endpoint {
    readonly access: Access;
    handle(exchange: Exchange): Promise<void> | void;
}

/** Endpoints by method and path, such as `GET /v1/status`. */
export type EndpointTable = Readonly<Record<string, Endpoint>>;
