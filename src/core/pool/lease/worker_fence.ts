/** Tracks whether a worker accepts the dispatcher's fencing token. */
export class WorkerFence {
  private accepted = false;
  private token = 0;
  private outranked = false;
  /** Token that the worker has to accept before it is used. */
  private requiredToken = 0;
  /** When the present process is known to have run, if another one ran before. */
  private restartedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly currentToken: () => number) {}

  /** Whether the worker has replied to an order with this token. */
  get isAccepted(): boolean {
    return this.accepted;
  }

  /** Whether it has, since its zone was last contested: all its runs are known. */
  get isProven(): boolean {
    return this.accepted && this.token >= this.requiredToken;
  }

  /** Highest token that the worker has accepted from here; 0 if none. */
  get acceptedToken(): number {
    return this.token;
  }

  /** Whether the worker has accepted a higher token. */
  get isOutranked(): boolean {
    return this.outranked;
  }

  /**
   * Records the reply to an order that was sent with `token` at `sentAt`; the
   * process before may have replied to one that was sent before a restart.
   */
  recordAccepted(token: number, sentAt: number): void {
    if (sentAt < this.restartedAt) return;
    this.accepted = true;
    this.token = Math.max(this.token, token);
  }

  /** Requires a new reply before the token counts as accepted. */
  reset(): void {
    this.accepted = false;
    this.token = 0;
  }

  /** Handles the report of a new process, which has not seen the token. */
  onRestart(reportedAt: number): void {
    this.restartedAt = reportedAt;
    this.reset();
  }

  /** Records a refusal; only one of the current token is significant. */
  recordFenced(token: number): void {
    if (token === this.currentToken()) this.outranked = true;
  }

  /**
   * Handles an increase of the token; returns whether the state changed. If another
   * dispatcher may have used the worker, it is contested and has to reply again.
   */
  onTokenRaised(isContested: boolean): boolean {
    if (isContested) this.requiredToken = this.currentToken();
    if (!this.outranked) return isContested;
    this.outranked = false;
    this.accepted = false;
    return true;
  }
}
