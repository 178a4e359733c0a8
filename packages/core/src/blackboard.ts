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

interface Observer {
    readonly names: ReadonlySet<string>;
    readonly listener: () => void;
    pending: boolean;
    open: boolean;
}

interface Follower {
    readonly listener: (entry: unknown) => void;
    readonly queue: unknown[];
    pending: boolean;
    open: boolean;
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
    const observers = new Map<string, Set<Observer>>();
    const followers = new Map<string, Set<Follower>>();
    const droppedEntries = new Map<string, number>();
    let open = true;

    function claim(name: string): void {
        if (claimed.has(name)) {
            throw new Error(`section "${name}" already has a writer`);
        }
        claimed.add(name);
    }

    function write(name: string, content: unknown): void {
        values.set(name, content);
        observers.get(name)?.forEach(scheduleObserver);
    }

    function scheduleObserver(observer: Observer): void {
        if (observer.pending) {
            return;
        }
        observer.pending = true;
        queueMicrotask(() => {
            observer.pending = false;
            if (open && observer.open) {
                observer.listener();
            }
        });
    }

    function append(name: string, entry: unknown): void {
        const capacity = capacities.get(name) ?? 0;
        for (const follower of followers.get(name) ?? []) {
            follower.queue.push(entry);
            if (follower.queue.length > capacity) {
                follower.queue.shift();
                droppedEntries.set(name, (droppedEntries.get(name) ?? 0) + 1);
            }
            scheduleFollower(follower);
        }
    }

    function scheduleFollower(follower: Follower): void {
        if (follower.pending) {
            return;
        }
        follower.pending = true;
        queueMicrotask(() => drain(follower));
    }

    function drain(follower: Follower): void {
        follower.pending = false;
        const entries = follower.queue.splice(0);
        for (const entry of entries) {
            if (open && follower.open) {
                follower.listener(entry);
            }
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
            const observer: Observer = { names: new Set(names), listener, pending: false, open: true };
            names.forEach(name => addTo(observers, name, observer));
            return {
                close() {
                    observer.open = false;
                    names.forEach(name => observers.get(name)?.delete(observer));
                },
            };
        },
        follow(name, listener) {
            const follower: Follower = {
                listener: listener as (entry: unknown) => void,
                queue: [],
                pending: false,
                open: true,
            };
            addTo(followers, name, follower);
            return {
                close() {
                    follower.open = false;
                    followers.get(name)?.delete(follower);
                },
            };
        },
        dropped: () => droppedEntries,
        close() {
            open = false;
            observers.clear();
            followers.clear();
        },
    };
}

function addTo<T>(sets: Map<string, Set<T>>, name: string, item: T): void {
    const set = sets.get(name) ?? new Set<T>();
    set.add(item);
    sets.set(name, set);
}
