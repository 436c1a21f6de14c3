/** Tracks whether a worker accepts the dispatcher's fencing token. */
export class WorkerFence {
  private accepted = false;
  private token = 0;
  private outranked = false;

  constructor(private readonly currentToken: () => number) {}

  /** Whether the worker has replied to an order with this token. */
  get isAccepted(): boolean {
    return this.accepted;
  }

  /** Highest token that the worker has accepted from here; 0 if none. */
  get acceptedToken(): number {
    return this.token;
  }

  /** Whether the worker has accepted a higher token. */
  get isOutranked(): boolean {
    return this.outranked;
  }

  /** Records the reply to an order that was sent with `token`. */
  recordAccepted(token: number): void {
    this.accepted = true;
    this.token = Math.max(this.token, token);
  }

  /** Requires a new reply before the token counts as accepted. */
  reset(): void {
    this.accepted = false;
    this.token = 0;
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
