/** Network delays and sizes of a user, from section 1.5 of the design. */
export interface UserProfile {
    readonly name: string;
    readonly domainMs: number;
    readonly regionMs: number;
    readonly slots: number;
    readonly connections: number;
}

export const users = {
    azraq: { name: "azraq", domainMs: 1.5, regionMs: 12, slots: 20, connections: 130 },
    kuasa: { name: "kuasa", domainMs: 1, regionMs: 12, slots: 12, connections: 130 },
} as const satisfies Record<string, UserProfile>;
