/** How one seed is played. */
export interface SoakOptions {
    readonly seed: number;
    /**
     * Time in which faults begin, in seconds.
     * @default 20
     */
    readonly seconds?: number;
    /**
     * Hosts, each with the processes of a daemon and of a backend server.
     * @default 4
     */
    readonly hosts?: number;
    /**
     * Folder for the schedule, the records and the logs of the daemons. They are kept for a failing seed.
     * @default "target/soak"
     */
    readonly folder?: string;
}

export type ResolvedSoakOptions = Required<SoakOptions>;

export function resolveSoakOptions({
    seed,
    seconds = 20,
    hosts = 4,
    folder = "target/soak",
}: SoakOptions): ResolvedSoakOptions {
    return { seed, seconds, hosts, folder };
}
