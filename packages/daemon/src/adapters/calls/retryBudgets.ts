import {
    consumeRetry,
    createRetryBudget,
    recordCall,
    type RetryBudget,
    type RetryLimits,
} from "@tanagertray/core";

/** Maximum number of services with a budget of their own. Further services share one budget. */
const maxServiceBudgets = 4_096;
const sharedBudgetKey = "";

/** Retry budgets of this host, one per service. */
export interface RetryBudgets {
    recordCall(service: string): void;
    /** Consumes a retry from the budget of the service, if the call may be retried again. */
    consumeRetry(service: string, call: { readonly retries: number; readonly maxAttempts: number }): boolean;
}

export function createRetryBudgets(limits: RetryLimits): RetryBudgets {
    const budgets = new Map<string, RetryBudget>();

    function budgetOf(service: string): RetryBudget {
        const key = budgets.has(service) || budgets.size < maxServiceBudgets ? service : sharedBudgetKey;
        const budget = budgets.get(key) ?? createRetryBudget(limits);
        budgets.set(key, budget);
        return budget;
    }

    return {
        recordCall: service => recordCall(budgetOf(service)),
        consumeRetry: (service, { retries, maxAttempts }) =>
            consumeRetry(budgetOf(service), retries, maxAttempts),
    };
}
