import type {AttemptOutcome} from '../job/attempt_outcome.js';
import {RetryBudget} from './retry_budget.js';

interface RetryContext {
  readonly className: string;
  readonly outcome: AttemptOutcome;
  /** Whether class and request both allow a retry after an attempt that ran. */
  readonly repeatable: boolean;
  /** Number of attempts so far that ran or may have run. */
  readonly started: number;
}

/** Maximum number of attempts of a task that ran or may have run. */
const MAX_STARTS = 4;

/** Decides whether a task is retried. */
export class RetryPolicy {
  private readonly budgets = new Map<string, RetryBudget>();

  recordStart(className: string): void {
    this.budget(className).recordStart();
  }

  /** Whether the task is retried; consumes the retry budget of its class. */
  shouldRetry(context: RetryContext): boolean {
    const {outcome} = context;
    switch (outcome.kind) {
      case 'succeeded':
        return false;
      case 'never_started':
        return true;
      // A worker may stop a task without a request; its job still needs the
      // result.
      case 'stopped':
      case 'failed':
      case 'unknown':
        if (!context.repeatable || mayStillRun(outcome)) return false;
        if (context.started >= MAX_STARTS) return false;
        return this.budget(context.className).take();
    }
  }

  private budget(className: string): RetryBudget {
    let budget = this.budgets.get(className);
    if (!budget) {
      budget = new RetryBudget();
      this.budgets.set(className, budget);
    }
    return budget;
  }
}

/** While this holds, a retry could run at the same time as the attempt. */
function mayStillRun(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'unknown' && outcome.mayStillRun === true;
}
