/** Events that are logged and counted. Each writer appends its events to its own feed of the blackboard. */

export const EventLevel = { Debug: "debug", Info: "info", Warn: "warn", Error: "error" } as const;
export type EventLevel = (typeof EventLevel)[keyof typeof EventLevel];

export interface Event {
    /** Stable across releases, such as `configuration.applied`. */
    readonly name: string;
    readonly level: EventLevel;
    /** Details for the log line. Must not contain secrets. */
    readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
}
