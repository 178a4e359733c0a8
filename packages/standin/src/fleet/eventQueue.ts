/** Event queue in virtual time, implemented as a binary heap. */
export interface EventQueue {
    /** Returns the current virtual time, in milliseconds. */
    readonly now: () => number;
    readonly schedule: (at: number, run: () => void) => void;
    /** Runs events until none is left, the next one is later than `until`, or `isDone` returns true. */
    readonly run: (until: number, isDone: () => boolean) => void;
    /** Like `run`, but waits after each event until its microtasks have completed. */
    readonly runSettled: (until: number, isDone: () => boolean) => Promise<void>;
}

interface Entry {
    readonly at: number;
    readonly sequence: number;
    readonly run: () => void;
}

export function createEventQueue(): EventQueue {
    const heap: Entry[] = [];
    let now = 0;
    let sequence = 0;
    const isBefore = (a: Entry, b: Entry) => a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
    const get = (index: number) => heap[index] as Entry;

    function swap(a: number, b: number): void {
        [heap[a], heap[b]] = [get(b), get(a)];
    }

    function schedule(at: number, run: () => void): void {
        heap.push({ at: Math.max(at, now), sequence: sequence++, run });
        let index = heap.length - 1;
        while (index > 0 && isBefore(get(index), get((index - 1) >> 1))) {
            swap(index, (index - 1) >> 1);
            index = (index - 1) >> 1;
        }
    }

    function removeFirst(): Entry | undefined {
        const first = heap[0];
        const last = heap.pop();
        if (first === undefined || last === undefined || heap.length === 0) {
            return first;
        }
        heap[0] = last;
        let index = 0;
        for (;;) {
            const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length);
            const smallest = children.sort((a, b) => (isBefore(get(a), get(b)) ? -1 : 1))[0];
            if (smallest === undefined || !isBefore(get(smallest), get(index))) {
                return first;
            }
            swap(index, smallest);
            index = smallest;
        }
    }

    function takeNextDue(until: number, isDone: () => boolean): Entry | undefined {
        const entry = heap.length > 0 && get(0).at <= until && !isDone() ? removeFirst() : undefined;
        now = entry?.at ?? now;
        return entry;
    }

    function run(until: number, isDone: () => boolean): void {
        for (
            let entry = takeNextDue(until, isDone);
            entry !== undefined;
            entry = takeNextDue(until, isDone)
        ) {
            entry.run();
        }
    }

    async function runSettled(until: number, isDone: () => boolean): Promise<void> {
        for (
            let entry = takeNextDue(until, isDone);
            entry !== undefined;
            entry = takeNextDue(until, isDone)
        ) {
            entry.run();
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    return { now: () => now, schedule, run, runSettled };
}
