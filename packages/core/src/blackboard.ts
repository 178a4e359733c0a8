/**
 * The blackboard: a typed store of named sections, each with exactly one writer.
 * Controllers and adapters share state through it and never call one another.
 */

/** Type of a section that holds the latest state. */
export interface Value<T> {
    readonly kind: "value";
    readonly content: T;
}

/** Type of a section that hands every entry to each follower, in order. */
export interface Feed<T> {
    readonly kind: "feed";
    readonly content: T;
}

export type Schema = { [name: string]: Value<unknown> | Feed<unknown> };
export type Content<S, K extends keyof S> = S[K] extends { readonly content: infer T } ? T : never;
export type ValueName<S> = { [K in keyof S]: S[K] extends Value<unknown> ? K : never }[keyof S] & string;
export type FeedName<S> = { [K in keyof S]: S[K] extends Feed<unknown> ? K : never }[keyof S] & string;
export type InitialValues<S> = { [K in ValueName<S>]: Content<S, K> };
export type FeedCapacities<S> = { [K in FeedName<S>]: number };

/** The right to write a value section. */
export interface ValueWriter<T> {
    write(content: T): void;
    update(change: (content: T) => T): void;
}

/** The right to append to a feed section. */
export interface FeedWriter<T> {
    append(entry: T): void;
}

export interface Subscription {
    close(): void;
}

export interface Blackboard<S> {
    read<K extends ValueName<S>>(name: K): Content<S, K>;
    claimValue<K extends ValueName<S>>(name: K): ValueWriter<Content<S, K>>;
    claimFeed<K extends FeedName<S>>(name: K): FeedWriter<Content<S, K>>;
    /** Calls the listener once after any number of writes to the named sections. */
    observe<K extends ValueName<S>>(names: readonly K[], listener: () => void): Subscription;
    /** Calls the listener for each entry of the feed, in order. */
    follow<K extends FeedName<S>>(name: K, listener: (entry: Content<S, K>) => void): Subscription;
    /** Number of entries that each feed dropped because a follower was too far behind. */
    dropped(): ReadonlyMap<string, number>;
    close(): void;
}

export interface BlackboardOptions<S> {
    /** Content of each value section before its first write. */
    values: InitialValues<S>;
    /** Largest number of undelivered entries of each feed. The oldest entry is dropped first. */
    feeds: FeedCapacities<S>;
}

interface Listener {
    /** Delivers what is due; runs at most once for any number of writes before it. */
    readonly deliver: () => void;
    pending: boolean;
    open: boolean;
}

interface Follower extends Listener {
    readonly queue: unknown[];
}

/**
 * Creates a blackboard.
 *
 * Listeners run in a later microtask, so that a write never re-enters its writer.
 * Claiming a section twice is a broken invariant and throws.
 *
 * @example
 * ```ts
 * interface Sections extends Schema {
 *     temperature: Value<number>;
 *     alarms: Feed<string>;
 * }
 * const board = createBlackboard<Sections>({ values: { temperature: 20 }, feeds: { alarms: 16 } });
 * const temperature = board.claimValue("temperature");
 * board.observe(["temperature"], () => console.log(board.read("temperature")));
 * temperature.write(25);
 * ```
 */
export function createBlackboard<S extends { [K in keyof S]: Value<unknown> | Feed<unknown> }>(
    options: BlackboardOptions<S>,
): Blackboard<S> {
    const values = new Map<string, unknown>(Object.entries(options.values));
    const capacities = new Map<string, number>(Object.entries(options.feeds));
    const claimed = new Set<string>();
    const observers = new Map<string, Set<Listener>>();
    const followers = new Map<string, Set<Follower>>();
    const droppedEntries = new Map<string, number>();
    const schedule = createSchedule();
    let open = true;

    function claim(name: string): void {
        if (claimed.has(name)) {
            throw new Error(`section "${name}" already has a writer`);
        }
        claimed.add(name);
    }

    function write(name: string, content: unknown): void {
        values.set(name, content);
        observers.get(name)?.forEach(schedule);
    }

    function append(name: string, entry: unknown): void {
        const capacity = capacities.get(name) ?? 0;
        for (const follower of followers.get(name) ?? []) {
            follower.queue.push(entry);
            if (follower.queue.length > capacity) {
                follower.queue.shift();
                droppedEntries.set(name, (droppedEntries.get(name) ?? 0) + 1);
            }
            schedule(follower);
        }
    }

    return {
        read: name => values.get(name) as never,
        claimValue(name) {
            claim(name);
            return {
                write: content => write(name, content),
                update: change => write(name, change(values.get(name) as never)),
            };
        },
        claimFeed(name) {
            claim(name);
            return { append: entry => append(name, entry) };
        },
        observe(names, listener) {
            const observer: Listener = { deliver: listener, pending: false, open };
            return listen(observers, names, observer);
        },
        follow(name, listener) {
            return listen(followers, [name], createFollower(listener as (entry: unknown) => void, open));
        },
        dropped: () => droppedEntries,
        close() {
            open = false;
            closeAll(observers);
            closeAll(followers);
        },
    };
}

function createFollower(listener: (entry: unknown) => void, open: boolean): Follower {
    const queue: unknown[] = [];
    const follower: Follower = {
        queue,
        pending: false,
        open,
        deliver() {
            for (const entry of queue.splice(0)) {
                if (follower.open) {
                    listener(entry);
                }
            }
        },
    };
    return follower;
}

/** Delivers to listeners in the order in which they became due. One microtask serves all that are due by then. */
function createSchedule(): (listener: Listener) => void {
    const due: Listener[] = [];
    let running = false;

    function run(): void {
        running = true;
        try {
            for (let next = due.shift(); next !== undefined; next = due.shift()) {
                next.pending = false;
                if (next.open) {
                    next.deliver();
                }
            }
        } finally {
            running = false;
            if (due.length > 0) {
                // A listener threw; the others still get theirs.
                queueMicrotask(run);
            }
        }
    }

    return listener => {
        if (listener.pending) {
            return;
        }
        listener.pending = true;
        due.push(listener);
        if (due.length === 1 && !running) {
            queueMicrotask(run);
        }
    };
}

function listen<T extends Listener>(
    sets: Map<string, Set<T>>,
    names: readonly string[],
    listener: T,
): Subscription {
    names.forEach(name => addTo(sets, name, listener));
    return {
        close() {
            listener.open = false;
            names.forEach(name => sets.get(name)?.delete(listener));
        },
    };
}

function closeAll<T extends Listener>(sets: Map<string, Set<T>>): void {
    for (const listeners of sets.values()) {
        listeners.forEach(listener => {
            listener.open = false;
        });
    }
    sets.clear();
}

function addTo<T>(sets: Map<string, Set<T>>, name: string, item: T): void {
    const set = sets.get(name) ?? new Set<T>();
    set.add(item);
    sets.set(name, set);
}
