import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {Fault} from './fault.js';
import type {ProcessBench} from './process_bench.js';

const MIN_STOP_MS = 2_000;
const MAX_STOP_MS = 5_000;
const MAX_DOWN_MS = 1_500;
const TAKEOVER_LIMIT_MS = 15_000;

interface Takeover {
  readonly fault: Fault;
  readonly zone: string;
  /** Time from the fault to the first start by the successor. */
  readonly ms: number;
}

/** Makes faults, one after the other, and undoes each. */
export class FaultDriver {
  readonly takeovers: Takeover[] = [];
  readonly violations: string[] = [];
  readonly counts = new Map<Fault, number>();

  constructor(
    private readonly bench: ProcessBench,
    private readonly random: SeededRandom,
  ) {}

  /** Makes a fault and waits until the daemons have recovered from it. */
  async make(fault: Fault): Promise<void> {
    this.counts.set(fault, (this.counts.get(fault) ?? 0) + 1);
    const zone = this.pick(['arbat', 'medeu']);
    switch (fault) {
      case Fault.killDispatcher:
        await this.killDispatcher(zone);
        break;
      case Fault.killOther:
        await this.killOther();
        break;
      case Fault.stopDispatcher:
        await this.stopDispatcher(zone);
        break;
      case Fault.drain:
        await this.drain();
        break;
      case Fault.killUpstream:
        await this.killUpstream();
        break;
      case Fault.silentLink:
        await this.silenceLink();
        break;
    }
    await this.bench.whenSettled();
  }

  private async killDispatcher(zone: string): Promise<void> {
    const {id, epoch} = await this.bench.dispatcher(zone);
    const at = Date.now();
    await this.bench.cluster.stopNode(id, 'SIGKILL');
    await this.takenOver(Fault.killDispatcher, zone, epoch, at);
    await this.restart(id);
  }

  private async killOther(): Promise<void> {
    const id = this.pick([...this.bench.cluster.nodes.keys()]);
    await this.bench.cluster.stopNode(id, 'SIGKILL');
    await this.pause(0, MAX_DOWN_MS);
    await this.restart(id);
  }

  private async stopDispatcher(zone: string): Promise<void> {
    const {id, epoch} = await this.bench.dispatcher(zone);
    const child = this.bench.cluster.node(id).process!;
    const at = Date.now();
    child.kill('SIGSTOP');
    const resumed = this.pause(MIN_STOP_MS, MAX_STOP_MS).then(() =>
      child.kill('SIGCONT'),
    );
    try {
      await this.takenOver(Fault.stopDispatcher, zone, epoch, at);
    } finally {
      await resumed;
    }
  }

  private async drain(): Promise<void> {
    const id = this.pick([...this.bench.cluster.nodes.keys()]);
    this.bench.requests.expectAnswers(id);
    const code = await this.bench.cluster.stopNode(id, 'SIGTERM');
    if (code !== 0) this.violations.push(`${id}: exit code ${code} at SIGTERM`);
    await this.restart(id);
  }

  private async killUpstream(): Promise<void> {
    const worker = this.pick([...this.bench.upstreams.keys()]);
    const child = this.bench.upstreams.get(worker)!;
    const closed = new Promise(resolve => child.once('close', resolve));
    child.kill('SIGKILL');
    await closed;
    await this.pause(0, MAX_DOWN_MS);
    this.bench.startUpstream(worker);
  }

  private async silenceLink(): Promise<void> {
    const {cluster} = this.bench;
    const from = this.pick([...cluster.nodes.keys()]);
    const to = this.pick([...cluster.nodes.keys()].filter(id => id !== from));
    const link = cluster.link(from, to);
    const {opened} = link;
    link.silence(this.pick(['to_target', 'to_client', 'both'] as const));
    await waitUntil(`a new link ${from}-${to}`, () => link.opened > opened);
  }

  private async takenOver(
    fault: Fault,
    zone: string,
    epoch: number,
    at: number,
  ): Promise<void> {
    const {starts} = this.bench.history;
    const first = () =>
      starts.find(s => s.at >= at && s.zone === zone && s.epoch > epoch);
    try {
      await waitUntil('a start', () => !!first(), TAKEOVER_LIMIT_MS);
      this.takeovers.push({fault, zone, ms: first()!.at - at});
    } catch {
      this.violations.push(`${zone}: no start by a successor after ${fault}`);
    }
  }

  private async restart(id: string): Promise<void> {
    this.bench.cluster.startNode(id);
    await this.bench.cluster.whenReady(id);
  }

  private pick<T>(values: readonly T[]): T {
    return values[this.random.below(values.length)]!;
  }

  private async pause(minMs: number, maxMs: number): Promise<void> {
    const ms = this.random.between(minMs, maxMs);
    await new Promise(resolve => setTimeout(resolve, ms));
  }
}
