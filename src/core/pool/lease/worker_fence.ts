/** Tracks whether a worker accepts the dispatcher's fencing token. */
export class WorkerFence {
  private accepted = false;
  private outranked = false;

  constructor(private readonly currentToken: () => number) {}

  /** Whether the worker has replied to an order with this token. */
  get isAccepted(): boolean {
    return this.accepted;
  }

  /** Whether the worker has accepted a higher token. */
  get isOutranked(): boolean {
    return this.outranked;
  }

  recordAccepted(): void {
    this.accepted = true;
  }

  /** Requires a new reply before the token counts as accepted. */
  reset(): void {
    this.accepted = false;
  }

  /** Records a refusal; only one of the current token is significant. */
  recordFenced(token: number): void {
    if (token === this.currentToken()) this.outranked = true;
  }

  /** Handles an increase of the token; returns whether the state changed. */
  onTokenRaised(): boolean {
    if (!this.outranked) return false;
    this.outranked = false;
    this.accepted = false;
    return true;
  }
}
