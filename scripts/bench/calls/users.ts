/** Sizes of the two users as design 1.5 states them. */
export interface User {
    readonly name: string;
    readonly domainMs: number;
    readonly regionMs: number;
    readonly slots: number;
    readonly connections: number;
}

export const users = {
    azraq: { name: "azraq", domainMs: 1.5, regionMs: 12, slots: 20, connections: 130 },
    kuasa: { name: "kuasa", domainMs: 1, regionMs: 12, slots: 12, connections: 130 },
} as const satisfies Record<string, User>;
