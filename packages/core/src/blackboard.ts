/**
 * Blackboard: a typed store of named sections, each with exactly one writer.
 * Controllers and adapters exchange state only through it and never call one another.
 */

/** Type of a section that stores its latest content. */
export interface Value<T> {
    readonly kind: "value";
    readonly content: T;
}

/** Type of a section that delivers every entry to each follower, in order. */
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

/** Write access to a value section, held by its only writer. */
export interface ValueWriter<T> {
    write(content: T): void;
    update(change: (content: T) => T): void;
}

/** Write access to a feed section, held by its only writer. */
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
    /** Calls the listener after writes to the named sections; writes before it runs are combined into one call. */
    observe<K extends ValueName<S>>(names: readonly K[], listener: () => void): Subscription;
    /** Calls the listener for each entry of the feed, in order. */
    follow<K extends FeedName<S>>(name: K, listener: (entry: Content<S, K>) => void): Subscription;
    /** Returns the number of entries that each feed dropped because a follower exceeded its capacity. */
    dropped(): ReadonlyMap<string, number>;
    close(): void;
}

export interface BlackboardOptions<S> {
    /** Content of each value section before its first write. */
    values: InitialValues<S>;
    /** Capacity of each feed: undelivered entries kept for each follower. Above it, the oldest entry is dropped. */
    feeds: FeedCapacities<S>;
}

interface Listener {
    /** Delivers all writes or entries since its last run. */
    readonly deliver: () => void;
    isScheduled: boolean;
    isOpen: boolean;
}

interface Follower extends Listener {
    readonly queue: unknown[];
}

/**
 * Creates a blackboard.
 *
 * Listeners run in a later microtask, so a write never re-enters its writer.
 * Claiming a section twice is a programming error and throws.
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
    const schedule = createScheduler();
    let isOpen = true;

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
            const observer: Listener = { deliver: listener, isScheduled: false, isOpen };
            return subscribe(observers, names, observer);
        },
        follow(name, listener) {
            return subscribe(followers, [name], createFollower(listener as (entry: unknown) => void, isOpen));
        },
        dropped: () => droppedEntries,
        close() {
            isOpen = false;
            closeAll(observers);
            closeAll(followers);
        },
    };
}

function createFollower(listener: (entry: unknown) => void, isOpen: boolean): Follower {
    const queue: unknown[] = [];
    const follower: Follower = {
        queue,
        isScheduled: false,
        isOpen,
        deliver() {
            for (const entry of queue.splice(0)) {
                if (follower.isOpen) {
                    listener(entry);
                }
            }
        },
    };
    return follower;
}

/** Creates a function that schedules listeners. One microtask runs all scheduled listeners, in order. */
function createScheduler(): (listener: Listener) => void {
    const queue: Listener[] = [];
    let isDelivering = false;

    function deliverAll(): void {
        isDelivering = true;
        try {
            for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
                next.isScheduled = false;
                if (next.isOpen) {
                    next.deliver();
                }
            }
        } finally {
            isDelivering = false;
            if (queue.length > 0) {
                // A listener threw; run the remaining ones.
                queueMicrotask(deliverAll);
            }
        }
    }

    return listener => {
        if (listener.isScheduled) {
            return;
        }
        listener.isScheduled = true;
        queue.push(listener);
        if (queue.length === 1 && !isDelivering) {
            queueMicrotask(deliverAll);
        }
    };
}

function subscribe<T extends Listener>(
    listenersByName: Map<string, Set<T>>,
    names: readonly string[],
    listener: T,
): Subscription {
    names.forEach(name => addToSet(listenersByName, name, listener));
    return {
        close() {
            listener.isOpen = false;
            names.forEach(name => listenersByName.get(name)?.delete(listener));
        },
    };
}

function closeAll<T extends Listener>(listenersByName: Map<string, Set<T>>): void {
    for (const listeners of listenersByName.values()) {
        listeners.forEach(listener => {
            listener.isOpen = false;
        });
    }
    listenersByName.clear();
}

function addToSet<T>(itemsByName: Map<string, Set<T>>, name: string, item: T): void {
    const items = itemsByName.get(name) ?? new Set<T>();
    items.add(item);
    itemsByName.set(name, items);
}
