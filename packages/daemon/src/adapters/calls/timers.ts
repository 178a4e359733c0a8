import type { Board } from "../../board.js";

/** A scheduled task. */
export interface Timer {
    cancel(): void;
}

/** Timers for the deadlines of calls. They run on the ticks of the clock, so that no call needs a timer of its own. */
export interface Timers {
    /** Runs the task at the first clock tick after the given number of milliseconds. */
    after(ms: number, task: () => void): Timer;
    close(): void;
}

/** Span of due times that share a bucket, in milliseconds. A tick looks only into the buckets that are due. */
const bucketMs = 100;

interface ScheduledTask {
    readonly dueAt: number;
    readonly task: () => void;
}

export function createTimers(board: Board, now: () => number): Timers {
    const buckets = new Map<number, Set<ScheduledTask>>();

    function runDue(): void {
        const currentTime = now();
        const currentBucket = Math.floor(currentTime / bucketMs);
        for (const [bucket, scheduled] of buckets) {
            if (bucket > currentBucket) {
                continue;
            }
            const due = [...scheduled].filter(({ dueAt }) => dueAt <= currentTime);
            due.forEach(scheduledTask => scheduled.delete(scheduledTask));
            if (scheduled.size === 0) {
                buckets.delete(bucket);
            }
            due.forEach(({ task }) => task());
        }
    }

    const subscription = board.observe(["clock"], runDue);
    return {
        after(ms, task) {
            const scheduledTask: ScheduledTask = { dueAt: now() + ms, task };
            const bucket = Math.floor(scheduledTask.dueAt / bucketMs);
            const scheduled = buckets.get(bucket) ?? new Set<ScheduledTask>();
            buckets.set(bucket, scheduled.add(scheduledTask));
            return {
                cancel() {
                    scheduled.delete(scheduledTask);
                    if (scheduled.size === 0 && buckets.get(bucket) === scheduled) {
                        buckets.delete(bucket);
                    }
                },
            };
        },
        close: () => subscription.close(),
    };
}
