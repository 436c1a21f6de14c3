import type {WorkerClient} from '../core/pool/lease/worker_client.js';

const CALLS_PER_SLICE = 4;
const TIMEOUT_MS = 500;

/**
 * Sends requests from the worker client to this node itself, so that the code of
 * a call is JIT-compiled before the first job arrives.
 */
export class ClientWarmUp {
  private slices = 0;

  constructor(
    private readonly client: WorkerClient,
    /** Host and port of a server on this node, which rejects the calls. */
    private readonly address: string,
    /** Number of slices after which the warm-up is over. */
    private readonly maxSlices: number,
  ) {}

  get isOver(): boolean {
    return this.slices >= this.maxSlices;
  }

  /** Sends the calls of one slice and waits for them to end. */
  async step(): Promise<void> {
    this.slices += 1;
    const self = {id: 'self', address: this.address};
    const order = {token: 0, acknowledged: 0, waitMs: 0};
    await Promise.all(
      Array.from({length: CALLS_PER_SLICE}, () =>
        this.client.poll(self, order, TIMEOUT_MS),
      ),
    );
  }
}
