import {RunRefusal} from './run_refusal.js';
import type {WorkerClient} from './worker_client.js';

/**
 * Number of polls for one order that prove the instance, after which the order is sent
 * in any case: a worker that closes each connection proves its instance for no longer
 * than a reply.
 */
const MAX_PROOFS = 2;

type Target = Parameters<WorkerClient['start']>[0];
type PollReply = Awaited<ReturnType<WorkerClient['poll']>>;
type Refused = Extract<PollReply, {kind: 'refused'}>;
type Lost = Extract<PollReply, {kind: 'lost'}>;

/** How one order is sent. */
interface Order<T> {
  /** Whether the sender still stands by it. */
  readonly isValid: () => boolean;
  /** Polls the worker without effects. */
  readonly prove: () => Promise<PollReply>;
  /**
   * Writes it and resolves with its reply, unless `mayBegin` is false in the moment
   * before, which may be long after the call.
   */
  readonly exchange: (
    mayBegin: () => boolean,
  ) => Promise<{readonly reply: T; readonly isWithheld: boolean}>;
}

/** What a reply shows of the process instance at an address. */
interface Proof {
  /** Undefined if the worker does not state it. */
  readonly bornAt: number | undefined;
}

const OTHER_INSTANCE = {
  kind: 'refused',
  reason: RunRefusal.otherLife,
} as const;

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

  /** Sends an order to no other process instance than the one it names. */
  async send<T>(target: Target, order: Order<T>): Promise<T | Refused | Lost> {
    let proofs = 0;
    const mayBegin = () =>
      order.isValid() && (this.isProven(target) || proofs >= MAX_PROOFS);
    for (;;) {
      if (!this.isProven(target)) await this.settle(target.address);
      if (!this.isProven(target)) {
        const reply = await order.prove();
        if (reply.kind !== 'ok') return reply;
        const {bornAt = target.bornAt} = reply.look;
        if (bornAt !== target.bornAt) return OTHER_INSTANCE;
        proofs += 1;
      }
      const {reply, isWithheld} = await order.exchange(mayBegin);
      // A new connection was made for the order, or one was lost.
      if (!isWithheld || !order.isValid()) return reply;
    }
  }

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
  private async settle(address: string): Promise<void> {
    await this.pendingInput.get(address);
  }

  /** Records the reply to a request that was sent after `losses` losses. */
  record(address: string, bornAt: number | undefined, losses: number): void {
    if (losses === this.lossesOf(address)) this.proofs.set(address, {bornAt});
  }

  /** Whether the connections to a target lead to no other instance. */
  private isProven({address, bornAt}: Target): boolean {
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
