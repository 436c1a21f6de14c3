/** Whether one worker obeys this lead's fencing token. */
export class WorkerFence {
  private obeys = false;
  private outranked = false;

  constructor(private readonly currentToken: () => number) {}

  /** Whether it has answered under this lead's token. */
  get isObeyed(): boolean {
    return this.obeys;
  }

  /** Whether it obeys a higher token. */
  get isOutranked(): boolean {
    return this.outranked;
  }

  obeyed(): void {
    this.obeys = true;
  }

  /** It must answer again before it counts as obeying. */
  forget(): void {
    this.obeys = false;
  }

  /** It has refused a token; a refusal of an earlier one says nothing. */
  refused(token: number): void {
    if (token === this.currentToken()) this.outranked = true;
  }

  /** The token is higher now; returns whether that changes anything. */
  raise(): boolean {
    if (!this.outranked) return false;
    this.outranked = false;
    this.obeys = false;
    return true;
  }
}
