/** How long a backend server takes until its response head, for the calls of one operation. */
export interface ServiceTimes {
    readonly samples: number;
    readonly meanMs: number;
    /** Moving average of the absolute deviation from the mean, in milliseconds. */
    readonly deviationMs: number;
}

/** Weights of a new sample, as for the retransmission timer of TCP (RFC 6298, section 2). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Deviations above the mean beyond which a response is less likely than none. */
const silenceDeviations = 6;
/** Samples needed before silence can be told from slow work. */
const minSamples = 20;
/** Lower bound of the limit, in milliseconds. Pauses of the backend server's process take as long. */
const minSilenceLimitMs = 200;

export function addServiceTime(times: ServiceTimes | undefined, elapsedMs: number): ServiceTimes {
    if (times === undefined) {
        return { samples: 1, meanMs: elapsedMs, deviationMs: elapsedMs / 2 };
    }
    const { samples, meanMs, deviationMs } = times;
    const difference = elapsedMs - meanMs;
    return {
        samples: samples + 1,
        meanMs: meanMs + meanWeight * difference,
        deviationMs: deviationMs + deviationWeight * (Math.abs(difference) - deviationMs),
    };
}

/**
 * Returns the time without a response head after which a call is better sent to another backend server, or `undefined`
 * if it should wait: too little is known, or too little time is left for another attempt.
 *
 * @param remainingMs - time until the deadline of the call, in milliseconds
 * @example
 * ```ts
 * silenceLimitMs({ samples: 50, meanMs: 160, deviationMs: 60 }, 1_200); // 520
 * silenceLimitMs({ samples: 50, meanMs: 160, deviationMs: 60 }, 600); // undefined
 * ```
 */
export function silenceLimitMs(times: ServiceTimes | undefined, remainingMs: number): number | undefined {
    if (times === undefined || times.samples < minSamples) {
        return undefined;
    }
    const limitMs = Math.max(minSilenceLimitMs, times.meanMs + silenceDeviations * times.deviationMs);
    return remainingMs - limitMs >= times.meanMs + times.deviationMs ? limitMs : undefined;
}
