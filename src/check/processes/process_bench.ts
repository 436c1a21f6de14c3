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
const JOB_CLIENTS = 14;
const REPEATABLE_CLASS = 'repeatable';
const STATUS_TIMEOUT_MS = 1_000;

interface LoadResult {
  readonly jobs: number;
  readonly violations: readonly string[];
}

/** Cluster of real daemons and upstreams under the load of several callers. */
export class ProcessBench {
  readonly requests = new OpenRequests();
  readonly history = new ProcessHistory();
  readonly configClient: ConfigClient;
  readonly upstreams = new Map<string, ChildProcess>();
  private readonly jobClients: JobClient[];
  private load: Promise<unknown> = Promise.resolve();

  private constructor(
    readonly cluster: LocalCluster,
    readonly random: SeededRandom,
  ) {
    const {requests, history} = this;
    history.watch(cluster);
    this.configClient = new ConfigClient({cluster, random, requests});
    this.jobClients = Array.from(
      {length: JOB_CLIENTS},
      () =>
        new JobClient({
          ...{cluster, random, requests, history},
          repeatableClass: REPEATABLE_CLASS,
        }),
    );
  }

  /** Starts the processes and the load; resolves once tasks are started. */
  static async start(seed: number): Promise<ProcessBench> {
    const cluster = await LocalCluster.create(NODES, {usesRelays: true});
    const bench = new ProcessBench(cluster, new SeededRandom(seed));
    try {
      await cluster.startAll();
      for (const {worker} of UPSTREAMS) bench.startUpstream(worker);
      await waitUntil('the repeatable class to be accepted', () =>
        bench.addRepeatableClass(),
      );
      await bench.waitUntilStable();
    } catch (err) {
      await cluster.stopAll();
      throw err;
    }
    bench.load = Promise.all([
      bench.configClient.run(),
      ...bench.jobClients.map(client => client.run()),
    ]);
    await waitUntil('starts', () => bench.history.starts.length > JOB_CLIENTS);
    return bench;
  }

  startUpstream(id: string): void {
    const {worker, zone} = UPSTREAMS.find(({worker}) => worker === id)!;
    this.upstreams.set(id, this.cluster.startUpstream(worker, zone, SLOTS));
  }

  async fetchStatus(id: string): Promise<DaemonStatus | undefined> {
    const reply = await this.requests.send({
      node: id,
      method: 'GET',
      url: `${this.cluster.node(id).admin}/v1/status`,
      headers: {authorization: `Bearer ${LocalCluster.ADMIN_TOKEN}`},
      timeoutMs: STATUS_TIMEOUT_MS,
    });
    return reply?.body as unknown as DaemonStatus | undefined;
  }

  /** Waits until exactly one daemon of the zone reports that it leads. */
  async findDispatcher(zone: string): Promise<{id: string; epoch: number}> {
    let dispatcher: {id: string; epoch: number} | undefined;
    await waitUntil(`a dispatcher of ${zone}`, async () => {
      const leaders: Array<{id: string; epoch: number}> = [];
      for (const node of this.cluster.nodes.values()) {
        if (node.zone !== zone) continue;
        const status = await this.fetchStatus(node.id);
        if (!status?.leads || status.epoch === null) continue;
        leaders.push({id: node.id, epoch: status.epoch});
      }
      dispatcher = leaders.length === 1 ? leaders[0] : undefined;
      return dispatcher !== undefined;
    });
    return dispatcher!;
  }

  /** Waits until all daemons are ready and agree on their zone's dispatcher. */
  async waitUntilStable(): Promise<void> {
    for (const {id} of NODES) await this.cluster.waitUntilReady(id);
    for (const zone of new Set(NODES.map(node => node.zone))) {
      await waitUntil(`one dispatcher in ${zone}`, async () => {
        const dispatchers = new Set<string | null>();
        for (const {id} of NODES.filter(node => node.zone === zone)) {
          dispatchers.add((await this.fetchStatus(id))?.dispatcher ?? null);
        }
        return dispatchers.size === 1 && !dispatchers.has(null);
      });
    }
  }

  /** Stops the load, waits for the last answers and checks the histories. */
  async finish(timeoutMs: number): Promise<LoadResult> {
    for (const client of this.jobClients) client.stop();
    this.configClient.stop();
    const violations: string[] = [];
    let isDone = false;
    void this.load.then(() => (isDone = true));
    try {
      await waitUntil('the last answers', () => isDone, timeoutMs);
      await Promise.all(this.jobClients.map(client => client.refetchAnswers()));
      await waitUntil('all accepted changes to be in force', () =>
        this.configClient.isEverywhereInForce(),
      );
    } catch (err) {
      violations.push((err as Error).message);
    }
    violations.push(
      ...this.history.check(),
      ...this.requests.violations,
      ...this.configClient.history.violations,
    );
    const jobs = this.jobClients.flatMap(client => client.jobs);
    for (const job of jobs) {
      if (job.isAccepted && !job.answer) {
        violations.push(`${job.key}: was accepted, but has no final answer`);
      }
    }
    return {jobs: jobs.length, violations: [...new Set(violations)]};
  }

  async stop(): Promise<void> {
    for (const client of this.jobClients) client.stop();
    this.configClient.stop();
    await this.cluster.stopAll();
    await this.requests.close();
  }

  private async addRepeatableClass(): Promise<boolean> {
    const value = {
      name: REPEATABLE_CLASS,
      target_ms: 2_000,
      percentile: 99,
      repeatable: true,
      memory_mb: 0,
      accelerators: 0,
    };
    return (await this.configClient.put(value, 'a1')) !== undefined;
  }
}
