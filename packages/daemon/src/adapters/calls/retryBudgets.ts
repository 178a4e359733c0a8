import {
    createRetryBudget,
    recordCall,
    consumeRetry,
    type RetryBudget,
    type RetryLimits,
} from "@tanagertray/core";

/** Services whose budgets are kept; a full table shares one budget among the others. */
const maxServices = 4_096;
const otherServices = "";

/** The budgets of this host's retries, by service. */
export interface RetryBudgets {
    noteCall(service: string): void;
    /** Takes a retry from the budget of the service, if the call may still be retried. */
    take(service: string, call: { readonly retries: number; readonly maxAttempts: number }): boolean;
}

export function createRetryBudgets(limits: RetryLimits): RetryBudgets {
    const budgets = new Map<string, RetryBudget>();

    function budgetOf(service: string): RetryBudget {
        const name = budgets.has(service) || budgets.size < maxServices ? service : otherServices;
        const budget = budgets.get(name) ?? createRetryBudget(limits);
        budgets.set(name, budget);
        return budget;
    }

    return {
        noteCall: service => recordCall(budgetOf(service)),
        take: (service, { retries, maxAttempts }) => consumeRetry(budgetOf(service), retries, maxAttempts),
    };
}
