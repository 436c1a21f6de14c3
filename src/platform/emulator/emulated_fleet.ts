import {TcpRelay} from '../../../test-support/relay/tcp_relay.js';
import type {Clock} from '../../core/clock/clock.js';
import type {EmulatedRun} from './emulated_run.js';
import {EmulatedWorker} from './emulated_worker.js';
import {EmulatedWorkers} from './emulated_workers.js';
import {postJson} from './post_json.js';

const HEARTBEAT_MS = 1_500;
const RETRY_MS = 200;
const PORT = 8_080;
const MEMORY_MB = 64_000;
const SLOTS = 8;
/** The slowest clock that workers may have. */
const MIN_CLOCK_RATE = 0.98;

interface WorkerPlace {
  readonly address: string;
  readonly zone: string;
  /** Service that the worker belongs to. */
  readonly service: string;
  readonly guardsCapacity: boolean;
}

interface EmulatedFleetOptions {
  readonly clock: Clock;
  readonly places: readonly WorkerPlace[];
  /** Capacity of each worker, in thousandths of a core. */
  readonly cpu: number;
  /** Addresses of the control API. */
  readonly control: readonly string[];
  /** Whether calls to workers pass through relays. */
  readonly usesRelays: boolean;
  readonly onStart: (run: EmulatedRun) => void;
}

interface Life {
  readonly id: string;
  readonly bornAt: number;
}

/** Emulated workers that send heartbeats, crash, and come back. */
export class EmulatedFleet {
  readonly workers: EmulatedWorkers;
  private readonly relays: TcpRelay[] = [];
  /** Current process instance of each worker; undefined while it is down. */
  private readonly lives: Array<Life | undefined> = [];
  private isStopped = false;

  constructor(private readonly opts: EmulatedFleetOptions) {
    this.workers = new EmulatedWorkers(opts.clock);
  }

  get size(): number {
    return this.opts.places.length;
  }

  async start(): Promise<void> {
    await this.workers.listen();
    for (const [n, {address: host}] of this.opts.places.entries()) {
      this.boot(n, `w-${n}`);
      if (!this.opts.usesRelays) continue;
      const options = {host, port: PORT, targetHost: host};
      this.relays.push(await TcpRelay.listen(this.workers.port, options));
    }
    for (let n = 0; n < this.size; n += 1) void this.sendHeartbeats(n);
  }

  /** Relay of the connections to a worker. */
  link(n: number): TcpRelay {
    return this.relays[n]!;
  }

  place(n: number): WorkerPlace {
    return this.opts.places[n]!;
  }

  /** Crashes a worker for a time, after which a new instance starts. */
  async crash(n: number, downMs: number, keepsId: boolean): Promise<void> {
    const life = this.lives[n];
    if (!life) return;
    this.lives[n] = undefined;
    this.relays[n]?.refuse();
    this.workers.crash(this.place(n).address);
    await this.sleep(downMs);
    if (this.isStopped) return;
    this.boot(n, keepsId ? life.id : `w-${n}-${Date.now()}`);
    await this.relays[n]?.accept();
  }

  async close(): Promise<void> {
    this.isStopped = true;
    this.workers.close();
    await Promise.all(this.relays.map(relay => relay.close()));
  }

  private boot(n: number, id: string): void {
    const {address, zone, guardsCapacity} = this.place(n);
    const {clock, cpu, onStart} = this.opts;
    const life = {id, bornAt: Math.floor(clock.now())};
    this.lives[n] = life;
    const worker = new EmulatedWorker({
      ...{...life, clock, zone, guardsCapacity, cpu, onStart},
      memoryMb: MEMORY_MB,
      clockRate: n % 2 === 0 ? 1 : MIN_CLOCK_RATE,
    });
    this.workers.add(address, worker);
  }

  private async sendHeartbeats(n: number): Promise<void> {
    const {address, zone, service} = this.place(n);
    const port = this.opts.usesRelays ? PORT : this.workers.port;
    let target = this.opts.control[n % this.opts.control.length]!;
    for (let seq = 1; !this.isStopped; seq += 1) {
      const life = this.lives[n];
      const heartbeat = life && {
        backend: service,
        address: `${address}:${port}`,
        zone,
        version: 'v1',
        slots: SLOTS,
        state: 'ready',
        cold_remaining_ms: 0,
        capacity: {cpu: this.opts.cpu, mem_mb: MEMORY_MB, gpu: 0},
        labels: ['a', `r-${n >> 3}`],
        seq,
        born: life.bornAt,
      };
      if (heartbeat) {
        const url = `http://${target}/Instances.Heartbeat/${life.id}`;
        const reply = await postJson(url, heartbeat);
        const {control} = this.opts;
        const next = control[(n + seq) % control.length]!;
        target = reply ? String(reply['heartbeat_url'] ?? target) : next;
        if (!reply) {
          await this.sleep(RETRY_MS);
          continue;
        }
      }
      await this.sleep(HEARTBEAT_MS);
    }
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.opts.clock.schedule(ms, resolve));
  }
}
