/** Options of a {@link RetryBudget}. */
interface RetryBudgetOptions {
  /** Tokens added by each recorded start. Default 0.1. */
  readonly perStart?: number;
  /** Maximum and initial number of tokens. Default 20. */
  readonly capacity?: number;
}

/**
 * Token bucket that limits retries to a share of starts, so that retries do not
 * multiply the load while many workers fail.
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

  /** Takes the token of one retry; false if there is none. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
