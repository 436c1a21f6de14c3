import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {Fault} from './fault.js';
import type {ProcessBench} from './process_bench.js';

const MIN_STOP_MS = 2_000;
const MAX_STOP_MS = 5_000;
const MAX_DOWNTIME_MS = 1_500;
const TAKEOVER_TIMEOUT_MS = 15_000;

/** Daemon of the zone arbat that is also a member of the group of medeu. */
const WITNESS = 'a1';
const WITNESS_REJOIN_MS = 2_000;
const DIRECTIONS = ['to_target', 'to_client', 'both'] as const;

type Direction = (typeof DIRECTIONS)[number];

interface Takeover {
  readonly fault: Fault;
  readonly zone: string;
  /** Time from the fault to the first start by the new dispatcher. */
  readonly ms: number;
}

/** Injects faults one at a time and reverts each of them. */
export class FaultDriver {
  readonly takeovers: Takeover[] = [];
  readonly violations: string[] = [];
  readonly counts = new Map<Fault, number>();

  constructor(
    private readonly bench: ProcessBench,
    private readonly random: SeededRandom,
  ) {}

  /** Injects a fault, reverts it, and waits until the daemons recover. */
  async inject(fault: Fault): Promise<void> {
    this.counts.set(fault, (this.counts.get(fault) ?? 0) + 1);
    const zone = this.pick(['arbat', 'medeu']);
    switch (fault) {
      case Fault.killDispatcher:
        await this.killDispatcher(zone);
        break;
      case Fault.killOther:
        await this.killOther();
        break;
      case Fault.killTwo:
        await this.killTwo();
        break;
      case Fault.stopDispatcher:
        await this.stopDispatcher(
          zone,
          this.random.floatBetween(MIN_STOP_MS, MAX_STOP_MS),
        );
        break;
      case Fault.drain:
        await this.drain();
        break;
      case Fault.killUpstream:
        await this.killUpstream();
        break;
      case Fault.silentLink:
        await this.silenceLink(...this.pickLink());
        break;
    }
    await this.bench.waitUntilStable();
  }

  private async killDispatcher(zone: string): Promise<void> {
    const {id, epoch} = await this.bench.findDispatcher(zone);
    const faultAt = Date.now();
    await this.bench.cluster.stopNode(id, 'SIGKILL');
    await this.recordTakeover(Fault.killDispatcher, zone, epoch, faultAt);
    await this.restart(id);
  }

  /** Never kills a1, which the group of medeu needs while a member is down. */
  private async killTwo(): Promise<void> {
    const {id, epoch} = await this.bench.findDispatcher('medeu');
    const other = this.pick(['a2', 'a3']);
    const faultAt = Date.now();
    await Promise.all(
      [id, other].map(node => this.bench.cluster.stopNode(node, 'SIGKILL')),
    );
    await this.recordTakeover(Fault.killTwo, 'medeu', epoch, faultAt);
    await Promise.all([this.restart(id), this.restart(other)]);
  }

  private async killOther(): Promise<void> {
    const id = this.pick([...this.bench.cluster.nodes.keys()]);
    await this.bench.cluster.stopNode(id, 'SIGKILL');
    await sleep(this.random.integerBelow(MAX_DOWNTIME_MS));
    await this.restart(id);
  }

  /** Suspends the dispatcher for at least `stopMs` and until a takeover. */
  async stopDispatcher(zone: string, stopMs: number): Promise<void> {
    const {id, epoch} = await this.bench.findDispatcher(zone);
    const child = this.bench.cluster.node(id).process!;
    const faultAt = Date.now();
    child.kill('SIGSTOP');
    try {
      await Promise.all([
        this.recordTakeover(Fault.stopDispatcher, zone, epoch, faultAt),
        sleep(stopMs),
      ]);
    } finally {
      child.kill('SIGCONT');
    }
  }

  private async drain(): Promise<void> {
    const id = this.pick([...this.bench.cluster.nodes.keys()]);
    this.bench.requests.requireCompletion(id);
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
    await sleep(this.random.integerBelow(MAX_DOWNTIME_MS));
    this.bench.startUpstream(worker);
  }

  /** Silences the open connection and waits until a new one replaces it. */
  async silenceLink(
    from: string,
    to: string,
    direction: Direction,
  ): Promise<void> {
    const link = this.bench.cluster.link(from, to);
    await waitUntil(`a link ${from}-${to}`, () => link.openCount > 0);
    const {openedCount: opened} = link;
    link.silence(direction);
    await waitUntil(
      `a new link ${from}-${to}`,
      () => link.openedCount > opened,
    );
  }

  private async recordTakeover(
    fault: Fault,
    zone: string,
    epoch: number,
    faultAt: number,
  ): Promise<void> {
    const {starts} = this.bench.history;
    const firstStart = () =>
      starts.find(s => s.at >= faultAt && s.zone === zone && s.epoch > epoch);
    try {
      await waitUntil('a start', () => !!firstStart(), TAKEOVER_TIMEOUT_MS);
      this.takeovers.push({fault, zone, ms: firstStart()!.at - faultAt});
    } catch {
      this.violations.push(
        `${zone}: no start by a new dispatcher after ${fault}`,
      );
    }
  }

  private async restart(id: string): Promise<void> {
    this.bench.cluster.startNode(id);
    await this.bench.cluster.waitUntilReady(id);
    // No API reports when the witness has caught up with the group of medeu.
    if (id === WITNESS) await sleep(WITNESS_REJOIN_MS);
  }

  private pickLink(): [string, string, Direction] {
    const nodes = [...this.bench.cluster.nodes.keys()];
    const from = this.pick(nodes);
    const to = this.pick(nodes.filter(id => id !== from));
    return [from, to, this.pick(DIRECTIONS)];
  }

  private pick<T>(values: readonly T[]): T {
    return values[this.random.integerBelow(values.length)]!;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
