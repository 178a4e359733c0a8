/** Linear congruential generator, so that a failing choice can be repeated. */
export function seeded(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
