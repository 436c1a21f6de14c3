import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {v7 as uuidv7} from 'uuid';
import * as v from 'valibot';
import {SystemClock} from '../../src/adapter/system_clock.js';
import {HttpUpstreamClient} from '../../src/adapter/upstream/http_upstream_client.js';
import {StaticConfigSource} from '../../src/core/config/static_config_source.js';
import {SingleNodeReplicator} from '../../src/core/group/single_node_replicator.js';
import type {JobAnswer} from '../../src/core/job/job_answer.js';
import {JobKey} from '../../src/core/job/job_key.js';
import {JobTable} from '../../src/core/job/job_table.js';
import {RetryPolicy} from '../../src/core/retry/retry_policy.js';
import {WorkerAnnouncement} from '../../src/core/worker/worker_announcement.js';
import {WorkerRegistry} from '../../src/core/worker/worker_registry.js';
import {waitUntil} from '../cluster/wait_until.js';
import {DispatchBench} from '../fakes/dispatch_bench.js';
import {ZoneMember} from '../fakes/zone_member.js';

/**
 * Age of the zone's group at the start. With a younger group, new job keys would
 * be rejected as too old because of the tolerated clock skew.
 */
const GROUP_AGE_MS = 10_000;

/** Zone with one dispatcher in this process, which calls upstreams over HTTP. */
export class InProcessZone {
  readonly errors: string[] = [];
  readonly registry = new WorkerRegistry();
  private readonly clock = new SystemClock();
  private readonly upstream = new HttpUpstreamClient({
    onError: detail => this.errors.push(detail),
  });
  private readonly member: ZoneMember;
  private readonly server: Server;

  private constructor() {
    const replicator = new SingleNodeReplicator('n1');
    this.member = new ZoneMember({
      node: 'n1',
      clock: this.clock,
      replicator,
      table: new JobTable(),
      registry: this.registry,
      retry: new RetryPolicy(),
      config: new StaticConfigSource({
        version: 1,
        classes: {
          default: DispatchBench.classOf('default'),
          repeat: DispatchBench.classOf('repeat', {repeatable: true}),
        },
        tenants: {},
      }),
      upstream: this.upstream,
      onFinished: () => undefined,
    });
    replicator.lead(this.clock.now() - GROUP_AGE_MS);
    this.server = createServer((req, res) => void this.announce(req, res));
  }

  static async start(): Promise<InProcessZone> {
    const zone = new InProcessZone();
    await new Promise<void>(resolve =>
      zone.server.listen(0, '127.0.0.1', resolve),
    );
    return zone;
  }

  /** URL to which upstreams send their announcements. */
  get url(): string {
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  submit(taskMs: readonly number[], className = 'default'): string {
    const now = this.clock.now();
    const text = `arbat~${uuidv7({msecs: now})}`;
    const key = JobKey.parse(text).unwrapOrElse(err => {
      throw new Error(err);
    });
    const accepted = this.member.dispatcher.submit(
      key,
      {
        key: key.text,
        keyTimeMs: key.timeMs,
        className,
        tenant: 'default',
        repeatable: true,
        tasks: taskMs.map((ms, value) => ({payload: {ms, value}})),
        fingerprint: taskMs.join(),
        submittedAt: now,
      },
      now,
    );
    if (accepted.isErr) throw new Error(accepted.error.detail);
    return key.text;
  }

  cancel(key: string): void {
    JobKey.parse(key).map(parsed =>
      this.member.dispatcher.cancel(parsed, this.clock.now()),
    );
  }

  answer(key: string): JobAnswer | undefined {
    const record = this.member.table.get(key);
    return record && this.member.table.answer(record);
  }

  async waitForAnswer(key: string): Promise<JobAnswer> {
    await waitUntil(`job ${key} to end`, () => {
      const status = this.answer(key)?.status;
      return status !== undefined && status !== 'running';
    });
    return this.answer(key)!;
  }

  /** Waits until a worker has acknowledged the epoch of the dispatcher. */
  async waitForFence(worker: string): Promise<void> {
    await waitUntil(`worker ${worker} to acknowledge the epoch`, () => {
      const epoch = this.member.replicator.leadingEpoch;
      return this.registry.get(worker)?.fencedEpoch === epoch;
    });
  }

  async stop(): Promise<void> {
    this.member.isStopped = true;
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
    await this.upstream.close();
  }

  private async announce(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    const body: unknown = JSON.parse(Buffer.concat(chunks).toString());
    const announcement = v.parse(WorkerAnnouncement, body);
    const now = this.clock.now();
    const isAccepted = this.member.dispatcher.announce(announcement, now);
    const grant = isAccepted
      ? {
          lease_ms: WorkerRegistry.LEASE_MS,
          epoch: this.member.replicator.leadingEpoch,
        }
      : {};
    res.end(JSON.stringify(grant));
  }
}
