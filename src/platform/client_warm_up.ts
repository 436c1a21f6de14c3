import type {WorkerClient} from '../core/pool/worker_client.js';

const CALLS_PER_SLICE = 4;
const SLICES = 60;
const TIMEOUT_MS = 500;

/**
 * Lets the client of workers call its own node, so that the engine has compiled
 * the way of a call before there is work.
 */
export class ClientWarmUp {
  private slices = 0;

  constructor(
    private readonly client: WorkerClient,
    /** A server of this node; it refuses the calls. */
    private readonly address: string,
  ) {}

  get isOver(): boolean {
    return this.slices >= SLICES;
  }

  /** Does one slice. */
  async step(): Promise<void> {
    this.slices += 1;
    const self = {id: 'self', address: this.address};
    const look = {token: 0, acknowledged: 0, waitMs: 0};
    await Promise.all(
      Array.from({length: CALLS_PER_SLICE}, () =>
        this.client.poll(self, look, TIMEOUT_MS),
      ),
    );
  }
}
