/** Options of the run for one seed. */
export interface SoakOptions {
    readonly seed: number;
    /**
     * Length of the fault phase, in seconds.
     * @default 20
     */
    readonly seconds?: number;
    /**
     * Number of hosts, each with a daemon process and a backend server process.
     * @default 4
     */
    readonly hosts?: number;
    /**
     * Folder for the schedule, the records and the daemon logs, which are kept only for failed seeds.
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
