interface Target {
  readonly address: string;
  /** Undefined if any process instance may get the order. */
  readonly bornAt?: number | undefined;
}

/** What a reply shows of the process instance at an address. */
interface Proof {
  /** Undefined if the worker does not state it. */
  readonly bornAt: number | undefined;
}

/**
 * The process instances of workers to which the open connections of this node lead.
 * A connection never leads to another instance than at its beginning, and a worker
 * that ends loses its connections. So a reply proves the instance until the next
 * connection to the address is lost. Whether one was lost before a new one was made
 * is known once all that had arrived by then has been read.
 */
export class InstanceProofs {
  private readonly proofs = new Map<string, Proof>();
  private readonly lostConnections = new Map<string, number>();
  /** Ends when the input from before the last new connection has been read. */
  private readonly pendingInput = new Map<string, Promise<void>>();

  /** Number of connections to an address that were lost, to be passed to `record`. */
  lossesOf(address: string): number {
    return this.lostConnections.get(address) ?? 0;
  }

  recordLoss(address: string): void {
    this.lostConnections.set(address, this.lossesOf(address) + 1);
    this.proofs.delete(address);
  }

  /** Records a new connection; `inputRead` as for `pendingInput`. */
  recordConnection(address: string, inputRead: Promise<void>): void {
    this.pendingInput.set(address, inputRead);
    void inputRead.then(() => {
      if (this.pendingInput.get(address) !== inputRead) return;
      this.pendingInput.delete(address);
    });
  }

  /** Resolves when it is known whether the proofs of an address hold. */
  async settle(address: string): Promise<void> {
    await this.pendingInput.get(address);
  }

  /** Records the reply to a request that was sent after `losses` losses. */
  record(address: string, bornAt: number | undefined, losses: number): void {
    if (losses === this.lossesOf(address)) this.proofs.set(address, {bornAt});
  }

  /** Whether the connections to a target lead to no other instance. */
  isProven({address, bornAt}: Target): boolean {
    if (bornAt === undefined) return true;
    if (this.pendingInput.has(address)) return false;
    const proof = this.proofs.get(address);
    return proof !== undefined && (proof.bornAt ?? bornAt) === bornAt;
  }

  /** Forgets an address that is no longer used. */
  delete(address: string): void {
    this.proofs.delete(address);
    this.lostConnections.delete(address);
    this.pendingInput.delete(address);
  }
}
