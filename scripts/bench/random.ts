/**
 * Creates a seeded random number generator (mulberry32), so that runs are reproducible.
 *
 * @example
 * ```ts
 * const random = createRandom(7);
 * random(); // the same number in every run
 * ```
 */
export function createRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
}
