import type {AttemptOutcome} from '../job/attempt_outcome.js';
import {RetryBudget} from './retry_budget.js';

interface RetryContext {
  readonly className: string;
  readonly outcome: AttemptOutcome;
  /** Class and request both allow a second attempt after one that ran. */
  readonly repeatable: boolean;
  /** Attempts so far that ran or may have. */
  readonly started: number;
}

/** Most attempts that ran, per task. */
const MAX_STARTS = 4;

/** Decides whether a task gets another attempt. */
export class RetryPolicy {
  private readonly budgets = new Map<string, RetryBudget>();

  recordStart(className: string): void {
    this.budget(className).recordStart();
  }

  /** Whether the task may be tried again; takes from the class's budget. */
  shouldRetry(question: RetryContext): boolean {
    const {outcome} = question;
    switch (outcome.kind) {
      case 'succeeded':
        return false;
      case 'never_started':
        return true;
      // A worker may stop a task on its own; its job still needs the result.
      case 'stopped':
      case 'failed':
      case 'unknown':
        if (!question.repeatable || mayStillRun(outcome)) return false;
        if (question.started >= MAX_STARTS) return false;
        return this.budget(question.className).take();
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

/** A second attempt beside the first one is never allowed. */
function mayStillRun(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'unknown' && outcome.mayStillRun === true;
}
