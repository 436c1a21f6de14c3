/** Options of a {@link RetryBudget}. */
interface RetryBudgetOptions {
  /** Retries earned by each first start. Default 0.1. */
  readonly perStart?: number;
  /** Most retries that can be saved up, and the number at first. Default 20. */
  readonly capacity?: number;
}

/**
 * Bounds second attempts to a share of first ones, so that retries do not
 * multiply load while much of the fleet fails.
 */
export class RetryBudget {
  private readonly perStart: number;
  private readonly capacity: number;
  private tokens: number;

  constructor({perStart = 0.1, capacity = 20}: RetryBudgetOptions = {}) {
    this.perStart = perStart;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  recordStart(): void {
    this.tokens = Math.min(this.capacity, this.tokens + this.perStart);
  }

  /** Takes one retry out of the budget; false if none is left. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
