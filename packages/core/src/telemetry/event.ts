/** Something worth a log line and a counter. Writers append events to a feed of their own. */

export const EventLevel = { Debug: "debug", Info: "info", Warn: "warn", Error: "error" } as const;
export type EventLevel = (typeof EventLevel)[keyof typeof EventLevel];

export interface Event {
    /** Stable across releases, such as `configuration.applied`. */
    readonly name: string;
    readonly level: EventLevel;
    /** Details; never a secret. */
    readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
}
