import type {ChildProcess} from 'node:child_process';
import {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {DaemonStatus} from '../../daemon/admin/daemon_status.js';
import {ConfigClient} from './config_client.js';
import {JobClient} from './job_client.js';
import {OpenRequests} from './open_requests.js';
import {ProcessHistory} from './process_history.js';

const NODES = [
  {id: 'a1', zone: 'arbat', voter: true},
  {id: 'a2', zone: 'arbat', voter: true},
  {id: 'a3', zone: 'arbat'},
  {id: 'm1', zone: 'medeu', voter: true},
  {id: 'm2', zone: 'medeu'},
];
const UPSTREAMS = [
  {worker: 'w1', zone: 'arbat'},
  {worker: 'w2', zone: 'arbat'},
  {worker: 'w3', zone: 'medeu'},
];
const SLOTS = 6;
const CLIENTS = 14;
const REPEATABLE_CLASS = 'repeatable';
const STATUS_LIMIT_MS = 1_000;

interface Quiet {
  readonly jobs: number;
  readonly violations: readonly string[];
}

/** Daemons and upstreams as processes, under the load of several callers. */
export class ProcessBench {
  readonly requests = new OpenRequests();
  readonly history = new ProcessHistory();
  readonly config: ConfigClient;
  readonly upstreams = new Map<string, ChildProcess>();
  private readonly clients: JobClient[];
  private work: Promise<unknown> = Promise.resolve();

  private constructor(
    readonly cluster: LocalCluster,
    readonly random: SeededRandom,
  ) {
    const {requests, history} = this;
    history.watch(cluster);
    this.config = new ConfigClient({cluster, random, requests});
    this.clients = Array.from(
      {length: CLIENTS},
      () =>
        new JobClient({
          ...{cluster, random, requests, history},
          repeatableClass: REPEATABLE_CLASS,
        }),
    );
  }

  /** Starts the processes, and the load once work is being done. */
  static async start(seed: number): Promise<ProcessBench> {
    const cluster = await LocalCluster.create(NODES, {usesRelays: true});
    const bench = new ProcessBench(cluster, new SeededRandom(seed));
    try {
      await cluster.startAll();
      for (const {worker} of UPSTREAMS) bench.startUpstream(worker);
      await waitUntil('the repeatable class', () => bench.addClass());
      await bench.whenSettled();
    } catch (err) {
      await cluster.stopAll();
      throw err;
    }
    bench.work = Promise.all([
      bench.config.run(),
      ...bench.clients.map(client => client.run()),
    ]);
    await waitUntil('starts', () => bench.history.starts.length > CLIENTS);
    return bench;
  }

  startUpstream(id: string): void {
    const {worker, zone} = UPSTREAMS.find(({worker}) => worker === id)!;
    this.upstreams.set(id, this.cluster.startUpstream(worker, zone, SLOTS));
  }

  async status(id: string): Promise<DaemonStatus | undefined> {
    const reply = await this.requests.send({
      node: id,
      method: 'GET',
      url: `${this.cluster.node(id).admin}/v1/status`,
      headers: {authorization: `Bearer ${LocalCluster.ADMIN_TOKEN}`},
      limitMs: STATUS_LIMIT_MS,
    });
    return reply?.body as unknown as DaemonStatus | undefined;
  }

  /** The zone's dispatcher with its epoch, if just one says that it leads. */
  async dispatcher(zone: string): Promise<{id: string; epoch: number}> {
    let found: {id: string; epoch: number} | undefined;
    await waitUntil(`a dispatcher of ${zone}`, async () => {
      const leading: Array<{id: string; epoch: number}> = [];
      for (const node of this.cluster.nodes.values()) {
        if (node.zone !== zone) continue;
        const status = await this.status(node.id);
        if (!status?.leads || status.epoch === null) continue;
        leading.push({id: node.id, epoch: status.epoch});
      }
      found = leading.length === 1 ? leading[0] : undefined;
      return found !== undefined;
    });
    return found!;
  }

  /** Waits until all daemons serve and agree on the dispatcher of their zone. */
  async whenSettled(): Promise<void> {
    for (const {id} of NODES) await this.cluster.waitUntilReady(id);
    for (const zone of new Set(NODES.map(node => node.zone))) {
      await waitUntil(`one dispatcher in ${zone}`, async () => {
        const seen = new Set<string | null>();
        for (const {id} of NODES.filter(node => node.zone === zone)) {
          seen.add((await this.status(id))?.dispatcher ?? null);
        }
        return seen.size === 1 && !seen.has(null);
      });
    }
  }

  /** Ends the load and checks all that was seen. */
  async finish(limitMs: number): Promise<Quiet> {
    for (const client of this.clients) client.stop();
    this.config.stop();
    const violations: string[] = [];
    let isDone = false;
    void this.work.then(() => (isDone = true));
    try {
      await waitUntil('the last answers', () => isDone, limitMs);
      await Promise.all(this.clients.map(client => client.fetchAgain()));
      await waitUntil('the configuration', () => this.config.isInForce());
    } catch (err) {
      violations.push((err as Error).message);
    }
    violations.push(
      ...this.history.check(),
      ...this.requests.violations,
      ...this.config.history.violations,
    );
    const jobs = this.clients.flatMap(client => client.jobs);
    for (const job of jobs) {
      if (job.isTaken && !job.answer) {
        violations.push(`${job.key}: was taken, but has no final answer`);
      }
    }
    return {jobs: jobs.length, violations: [...new Set(violations)]};
  }

  async stop(): Promise<void> {
    for (const client of this.clients) client.stop();
    this.config.stop();
    await this.cluster.stopAll();
    await this.requests.close();
  }

  private async addClass(): Promise<boolean> {
    const value = {
      name: REPEATABLE_CLASS,
      target_ms: 2_000,
      percentile: 99,
      repeatable: true,
      memory_mb: 0,
      accelerators: 0,
    };
    return (await this.config.put(value, 'a1')) !== undefined;
  }
}
