/** Linear congruential generator; the same seed gives the same numbers, so that a failure can be reproduced. */
export function createSeededRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
