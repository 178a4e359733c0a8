import {
    chooseTarget,
    tiersByDistance,
    type SelectionOptions,
    type ServiceTargets,
    type Target,
} from "@tanagertray/core";

export const Selector = {
    Product: "product",
    Random: "random",
    RoundRobin: "roundRobin",
    LeastConnections: "leastConnections",
} as const;
export type Selector = (typeof Selector)[keyof typeof Selector];

export interface SelectorState {
    turn: number;
}

type ChooseTarget = (
    targets: ServiceTargets,
    options: SelectionOptions,
    state: SelectorState,
) => Target | undefined;

/** The selection of the product and the baselines, which ignore tiers, ejection and load. */
export const selectors = {
    [Selector.Product]: (targets, options) => chooseTarget(targets, options)?.target,
    [Selector.Random]: (targets, options) => {
        const all = usableTargets(targets, options);
        return all[Math.floor(options.random() * all.length)];
    },
    [Selector.RoundRobin]: (targets, options, state) => {
        const all = usableTargets(targets, options);
        return all[state.turn++ % Math.max(1, all.length)];
    },
    [Selector.LeastConnections]: (targets, options) => {
        const inFlight = ({ host }: Target) => options.observations.get(host)?.inFlight ?? 0;
        const all = usableTargets(targets, options);
        const fewest = Math.min(...all.map(inFlight));
        const best = all.filter(target => inFlight(target) === fewest);
        return best[Math.floor(options.random() * best.length)];
    },
} satisfies Record<Selector, ChooseTarget>;

function usableTargets(targets: ServiceTargets, { excluded }: SelectionOptions): readonly Target[] {
    return tiersByDistance.flatMap(tier => targets[tier]).filter(({ host }) => !excluded.has(host));
}
