/** Event queue in virtual time: a binary heap ordered by time, then by insertion. */
export interface EventQueue {
    now(): number;
    schedule(delayMs: number, run: () => void): void;
    /** Runs the events up to and including `endMs`. */
    runUntil(endMs: number): void;
}

interface Entry {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

export function createEventQueue(startMs: number): EventQueue {
    const heap: Entry[] = [];
    let now = startMs;
    let order = 0;

    function isBefore(a: number, b: number): boolean {
        const [x, y] = [heap[a] as Entry, heap[b] as Entry];
        return x.at < y.at || (x.at === y.at && x.order < y.order);
    }

    function swap(a: number, b: number): void {
        const first = heap[a] as Entry;
        heap[a] = heap[b] as Entry;
        heap[b] = first;
    }

    function siftUp(index: number): void {
        for (let i = index; i > 0 && isBefore(i, (i - 1) >> 1); i = (i - 1) >> 1) {
            swap(i, (i - 1) >> 1);
        }
    }

    function siftDown(): void {
        for (let i = 0; ;) {
            const left = 2 * i + 1;
            const smallest = left + 1 < heap.length && isBefore(left + 1, left) ? left + 1 : left;
            if (smallest >= heap.length || !isBefore(smallest, i)) {
                return;
            }
            swap(i, smallest);
            i = smallest;
        }
    }

    function removeFirst(): Entry {
        const first = heap[0] as Entry;
        const last = heap.pop() as Entry;
        if (heap.length > 0) {
            heap[0] = last;
            siftDown();
        }
        return first;
    }

    return {
        now: () => now,
        schedule(delayMs, run) {
            heap.push({ at: now + Math.max(0, delayMs), order: order++, run });
            siftUp(heap.length - 1);
        },
        runUntil(endMs) {
            while (heap.length > 0 && (heap[0] as Entry).at <= endMs) {
                const { at, run } = removeFirst();
                now = at;
                run();
            }
            now = endMs;
        },
    };
}
