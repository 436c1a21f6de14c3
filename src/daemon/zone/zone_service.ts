import * as v from 'valibot';
import type {Clock} from '../../core/clock/clock.js';
import type {ConfigSource} from '../../core/config/config_source.js';
import type {DispatchObserver} from '../../core/dispatch/dispatch_observer.js';
import type {DispatchPolicy} from '../../core/dispatch/dispatch_policy.js';
import {Dispatcher} from '../../core/dispatch/dispatcher.js';
import type {Replicator} from '../../core/group/replicator.js';
import {JobKey} from '../../core/job/job_key.js';
import type {JobTable} from '../../core/job/job_table.js';
import type {PeerTransport} from '../../core/peer/peer_transport.js';
import {JobRequest} from '../../core/job/job_request.js';
import {SpareCapacityAnnouncer} from '../../core/overflow/spare_capacity_announcer.js';
import {SpareCapacity} from '../../core/overflow/spare_capacity.js';
import {RetryPolicy} from '../../core/retry/retry_policy.js';
import type {UpstreamClient} from '../../core/upstream/upstream_client.js';
import type {WorkerAnnouncement} from '../../core/worker/worker_announcement.js';
import {WorkerRegistry} from '../../core/worker/worker_registry.js';
import type {JobResponse} from './job_response.js';
import {ZoneJobs} from './zone_jobs.js';

const TICK_MS = 100;

interface ZoneServiceOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly replicator: Replicator;
  /** Job table that the replicator takes snapshots of. */
  readonly table: JobTable;
  readonly policy: DispatchPolicy;
  readonly config: ConfigSource;
  readonly upstream: UpstreamClient;
  readonly zone: string;
  /** Zones to which spare slots are offered. */
  readonly otherZones: readonly string[];
  /** Sends an offer of spare slots to the zone that it is for. */
  readonly announceSpare: (announcement: WorkerAnnouncement) => void;
  readonly observer?: DispatchObserver | undefined;
}

/**
 * Serves the jobs and workers of this node's zone. Jobs are dispatched here only
 * while this node leads the zone.
 */
export class ZoneService {
  readonly registry = new WorkerRegistry();
  readonly jobs: ZoneJobs;
  readonly dispatcher: Dispatcher;
  private readonly spareAnnouncer: SpareCapacityAnnouncer;
  private isFlushRequested = false;
  private isStopped = false;

  constructor(private readonly opts: ZoneServiceOptions) {
    this.dispatcher = new Dispatcher({
      ...opts,
      registry: this.registry,
      retry: new RetryPolicy(),
      onAccepted: key => this.jobs.accepted(key),
      onFinished: key => this.jobs.finished(key),
      onLeadershipLost: () => this.jobs.leadershipLost(),
      requestFlush: () => this.requestFlush(),
    });
    this.jobs = new ZoneJobs(this.dispatcher, opts.table, opts.clock);
    this.spareAnnouncer = new SpareCapacityAnnouncer({
      zone: opts.zone,
      zones: opts.otherZones,
      spare: new SpareCapacity(this.registry, opts.policy),
      lentSlots: () => this.dispatcher.lentSlots(),
      memoryStart: () => opts.replicator.memoryStart,
      announce: opts.announceSpare,
    });
    opts.peers.onRequest('job', (_from, body) => {
      const req = v.safeParse(JobRequest, body);
      if (req.success) return this.handle(req.output);
      return Promise.reject(new Error('the job request is malformed'));
    });
    this.scheduleTick();
  }

  /**
   * Waits until this node has no open jobs to dispatch, for `limitMs` at most. A
   * group with one member loses its jobs when the process exits.
   */
  async waitUntilIdle(limitMs: number): Promise<void> {
    const {clock} = this.opts;
    const deadline = clock.now() + limitMs;
    const isBusy = () =>
      this.dispatcher.isLeading && this.dispatcher.activeJobs > 0;
    while (isBusy() && clock.now() < deadline) {
      await new Promise<void>(resolve => {
        clock.schedule(TICK_MS, resolve);
      });
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Registers a worker's announcement; false if a newer one was received before.
   * Only the leader grants a lease in reply.
   */
  announce(announcement: WorkerAnnouncement): boolean {
    return this.dispatcher.announce(announcement, this.opts.clock.now());
  }

  private async handle(req: JobRequest): Promise<JobResponse> {
    const key = JobKey.parse(req.key);
    if (key.isErr) return redirect(undefined);
    const isSameKey = req.kind !== 'submit' || req.spec.key === key.value.text;
    if (!isSameKey) throw new Error('the job has a different key');
    if (!this.dispatcher.isLeading) {
      return redirect(this.opts.replicator.leader);
    }
    const result = await this.serve(key.value, req);
    if (result.isOk) return {kind: 'answer', answer: result.value};
    if (result.error.code === 'not_leader') {
      return redirect(this.opts.replicator.leader);
    }
    return {kind: 'refusal', refusal: result.error};
  }

  private serve(key: JobKey, req: JobRequest) {
    switch (req.kind) {
      case 'submit':
        return this.jobs.submit(key, req.spec, req.waitMs);
      case 'fetch':
        return this.jobs.fetch(key, req.waitMs);
      case 'cancel':
        return this.jobs.cancel(key);
      case 'settle':
        return this.jobs.settle(key);
      case 'acknowledge':
        this.jobs.acknowledge(key);
        return this.jobs.fetch(key, 0);
    }
  }

  /** Batches the events of one turn of the event loop into one proposal. */
  private requestFlush(): void {
    if (this.isFlushRequested || this.isStopped) return;
    this.isFlushRequested = true;
    this.opts.clock.defer(() => {
      this.isFlushRequested = false;
      this.dispatcher.flush(this.opts.clock.now());
    });
  }

  private offerSpareSlots(now: number): void {
    const epoch = this.opts.replicator.leadingEpoch;
    if (epoch !== undefined) this.spareAnnouncer.tick(epoch, now);
  }

  private scheduleTick(): void {
    this.opts.clock.schedule(TICK_MS, () => {
      if (this.isStopped) return;
      const now = this.opts.clock.now();
      this.dispatcher.tick(now);
      this.offerSpareSlots(now);
      this.scheduleTick();
    });
  }
}

function redirect(leader: string | undefined): JobResponse {
  return {kind: 'redirect', leader};
}
