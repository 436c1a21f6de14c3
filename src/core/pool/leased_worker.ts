import {resolveMissingRun} from './resolve_missing_run.js';
import type {LeaseOptions} from './lease_options.js';
import {LeaseTiming} from './lease_timing.js';
import {LossCause} from './loss_cause.js';
import {ProbeBackoff} from './probe_backoff.js';
import {Resources} from './resources.js';
import type {Run} from './run.js';
import {RunLedger} from './run_ledger.js';
import {RunEnd} from './run_end.js';
import type {RunLoss} from './run_loss.js';
import {RunRefusal} from './run_refusal.js';
import type {WorkerClient} from './worker_client.js';
import {WorkerFence} from './worker_fence.js';
import {WorkerLease} from './worker_lease.js';
import type {WorkerReport} from './worker_report.js';

type PollReply = Awaited<ReturnType<WorkerClient['poll']>>;
type Status = Extract<PollReply, {kind: 'ok'}>['look'];

/**
 * One worker under a lease of this dispatcher. Tracks each run from the start
 * order until it has certainly ended, even if orders or replies are lost.
 */
export class LeasedWorker {
  private readonly ledger = new RunLedger();
  private readonly lease: WorkerLease;
  private bornAt: number | undefined;
  private readonly fence: WorkerFence;
  private acknowledged = 0;
  private acknowledgedSent = 0;
  private endedAt = 0;
  private pendingPolls = 0;
  private readonly probes = new ProbeBackoff();
  private backoffUntil = 0;

  constructor(
    private readonly opts: LeaseOptions,
    public report: WorkerReport,
    /** When the last report was received. */
    public seenAt: number,
  ) {
    this.lease = new WorkerLease(opts.leaseMs);
    this.fence = new WorkerFence(opts.currentToken);
  }

  /** Runs of this dispatcher that may be active, by task. */
  get runs(): ReadonlyMap<string, Run> {
    return this.ledger.runs;
  }

  /** Run numbers of runs that another dispatcher started, by task. */
  get inherited(): ReadonlyMap<string, number> {
    return this.ledger.inherited;
  }

  /** Whether the worker has replied to an order with the current token. */
  get isFenced(): boolean {
    return this.fence.isAccepted;
  }

  /** Whether the worker has accepted a higher token. */
  get isOutranked(): boolean {
    return this.fence.isOutranked;
  }

  get isSilent(): boolean {
    return this.probes.isSilent;
  }

  get isIdle(): boolean {
    return this.ledger.isEmpty;
  }

  get freeCapacity(): Resources {
    return Resources.minus(this.report.capacity, this.ledger.used);
  }

  /** Whether the worker can be given start orders. */
  isUsable(now: number): boolean {
    return (
      this.isFenced &&
      !this.isOutranked &&
      !this.isSilent &&
      !this.report.isDraining &&
      this.inherited.size === 0 &&
      now >= this.backoffUntil
    );
  }

  tick(now: number): void {
    this.endExpiredRuns(now);
    if (this.isOutranked || !this.opts.maySendOrders(now)) return;
    this.retryStops(now);
    if (this.pendingPolls === 0) this.pollIfDue(now);
  }

  start(run: Run, payload: string): void {
    const {client, clock} = this.opts;
    const {token} = this;
    const now = clock.now();
    this.ledger.add(run);
    const leaseEnd = this.lease.extend(now);
    run.startLeaseEnd = leaseEnd;
    const order = {task: run.task, run: run.number, token, payload, leaseEnd};
    void client
      .start(this.report, order, LeaseTiming.ORDER_TIMEOUT_MS)
      .then(reply => this.onStartReply(run, reply, now, token));
    this.tick(now);
  }

  /** Takes over a run that another dispatcher started. */
  adopt(run: Run): void {
    this.ledger.add(run);
  }

  /** Requests a stop; the end of the run is reported like any other. */
  stop(run: Run): void {
    if (run.stopRequestedAt !== undefined) return;
    this.sendStop(run, this.opts.clock.now());
  }

  /** Stops inherited runs that no job has claimed. */
  stopInherited(): void {
    const now = this.opts.clock.now();
    for (const run of this.ledger.takeInherited(now)) this.sendStop(run, now);
  }

  /** Handles a raised token, which the worker may accept again. */
  onTokenRaised(): void {
    if (this.fence.onTokenRaised()) this.probes.makeDue();
  }

  /** Whether inherited runs have been reported since before `at`. */
  hasInheritedSince(at: number): boolean {
    return this.ledger.inheritedSince < at;
  }

  /** Ends all runs, which are known to be over for this reason. */
  close(cause: LossCause): void {
    for (const run of [...this.runs.values()]) this.loseRun(run, cause);
    this.ledger.inherited.clear();
  }

  private get token(): number {
    return this.opts.currentToken();
  }

  private pollIfDue(now: number): void {
    if (this.isSilent || !this.isFenced) {
      if (this.probes.takeIfDue(now)) this.poll(0, now);
    } else if (!this.isIdle) {
      this.poll(LeaseTiming.POLL_WAIT_MS, now);
    } else if (this.acknowledged > this.acknowledgedSent) {
      if (now - this.endedAt >= LeaseTiming.IDLE_ACK_MS) this.poll(0, now);
    }
  }

  private poll(waitMs: number, now: number): void {
    const {client} = this.opts;
    const {acknowledged, token} = this;
    // An unanswered poll may still renew the lease; without this check, the runs
    // of a worker whose replies are lost would never end.
    const mayExtend = this.lease.isClockKnown && !this.isSilent;
    const leaseEnd = mayExtend ? this.lease.extend(now) : undefined;
    this.pendingPolls += 1;
    this.acknowledgedSent = acknowledged;
    void client
      .poll(
        this.report,
        {token, acknowledged, waitMs, leaseEnd},
        waitMs + LeaseTiming.POLL_GRACE_MS,
      )
      .then(reply => {
        this.pendingPolls -= 1;
        this.onPollReply(reply, now, token);
      });
  }

  private onStartReply(
    run: Run,
    reply: Awaited<ReturnType<WorkerClient['start']>>,
    sentAt: number,
    token: number,
  ): void {
    if (this.runs.get(run.task) !== run) return;
    const now = this.opts.clock.now();
    switch (reply.kind) {
      case 'ok':
        run.confirmedAt ??= now;
        this.lease.updateClock(reply.clockMs, sentAt, now);
        return;
      case 'refused':
        if (run.confirmedAt !== undefined) return;
        this.onStartRefused(run, reply.reason, now, token);
        return;
      case 'lost':
        if (run.confirmedAt !== undefined) return;
        // The worker may have received the order. A poll shows whether the task
        // runs; if not, a stop prevents a late order from starting it.
        if (reply.isRefused) this.probes.refusedAt = now;
        run.isStartReplyLost = true;
        this.poll(0, now);
        return;
    }
  }

  private onStartRefused(
    run: Run,
    reason: RunRefusal,
    now: number,
    token: number,
  ): void {
    if (reason === RunRefusal.noRoom) this.backoffUntil = now + 100;
    if (reason === RunRefusal.unhealthy || reason === RunRefusal.invalid) {
      this.backoffUntil = now + 500;
    }
    this.ledger.remove(run);
    this.opts.listener.onRunRefused(this, run, reason);
    this.onRefusal(reason, token);
  }

  /** Handles the refusals that concern the worker and not a single run. */
  private onRefusal(reason: RunRefusal, token: number): void {
    if (reason === RunRefusal.fenced) this.fence.recordFenced(token);
    if (reason === RunRefusal.otherLife) this.onWorkerRestarted();
  }

  /** Ends all runs: they ended with the previous process instance. */
  private onWorkerRestarted(): void {
    this.fence.reset();
    this.probes.onTimeout();
    this.close(LossCause.restarted);
  }

  private onPollReply(reply: PollReply, sentAt: number, token: number): void {
    const now = this.opts.clock.now();
    if (reply.kind === 'ok') {
      const wasUsable = this.isUsable(now);
      this.probes.onReply();
      this.onStatus(reply.look, sentAt, now);
      if (!wasUsable && this.isUsable(now)) this.opts.listener.onChange(this);
    } else if (reply.kind === 'lost') {
      this.probes.onTimeout(reply.isRefused ? now : undefined);
    } else {
      this.onRefusal(reply.reason, token);
      if (this.isOutranked) this.opts.listener.onChange(this);
      else if (reply.reason !== RunRefusal.otherLife) this.probes.onTimeout();
    }
    this.tick(now);
  }

  private onStatus(status: Status, sentAt: number, now: number): void {
    if (status.bornAt !== undefined) this.updateInstance(status.bornAt);
    this.lease.updateClock(status.clockMs, sentAt, now);
    this.fence.recordAccepted();
    for (const {number, task, run, how} of status.ended) {
      if (number <= this.acknowledged) continue;
      this.acknowledged = number;
      this.endedAt = now;
      this.onListedEnd(task, run, how);
    }
    const reported = new Map(status.running.map(r => [r.task, r.run]));
    this.ledger.updateInherited(reported, now);
    if (status.isPartial) return;
    for (const run of [...this.runs.values()]) {
      if (reported.get(run.task) === run.number) run.confirmedAt ??= now;
      else this.onAbsent(run, status, sentAt, now);
    }
  }

  private updateInstance(bornAt: number): void {
    if (this.bornAt !== undefined && bornAt !== this.bornAt) {
      this.acknowledged = 0;
      this.acknowledgedSent = 0;
      this.lease.reset();
      this.ledger.inherited.clear();
    }
    this.bornAt = bornAt;
  }

  private onListedEnd(task: string, number: number, how: RunEnd): void {
    const run = this.runs.get(task);
    if (run && run.number === number) {
      this.endRun(run, how);
      return;
    }
    if (this.inherited.get(task) === number) this.ledger.inherited.delete(task);
    this.opts.listener.onInheritedRunEnded(task, number, how);
  }

  /** Handles a run that the worker lists neither as active nor as ended. */
  private onAbsent(run: Run, reply: Status, sentAt: number, now: number): void {
    const outcome = resolveMissingRun(run, reply.clockMs, sentAt);
    if (outcome === RunEnd.lost) this.loseRun(run, LossCause.notListed);
    else if (outcome) this.rejectRun(run, outcome);
    else if (run.isStartReplyLost && run.stopRequestedAt === undefined) {
      this.sendStop(run, now);
    }
  }

  private sendStop(run: Run, now: number): void {
    const {client, clock} = this.opts;
    const {token} = this;
    run.stopRequestedAt = now;
    const order = {task: run.task, run: run.number, token};
    void client
      .stop(this.report, order, LeaseTiming.ORDER_TIMEOUT_MS)
      .then(reply => {
        if (reply.kind === 'ok') run.stoppedAt ??= clock.now();
        else if (reply.kind === 'refused') this.onRefusal(reply.reason, token);
        if (this.pendingPolls === 0) this.tick(clock.now());
        else this.poll(0, clock.now());
      });
  }

  private retryStops(now: number): void {
    const sentBefore =
      now - LeaseTiming.ORDER_TIMEOUT_MS - LeaseTiming.PROBE_INTERVAL_MS;
    for (const run of this.runs.values()) {
      if (run.isStopUnconfirmedSince(sentBefore)) this.sendStop(run, now);
    }
  }

  /** Ends all runs after lease expiry, when the worker has stopped them. */
  private endExpiredRuns(now: number): void {
    if (this.runs.size === 0 || !this.lease.isExpired(now)) return;
    this.fence.reset();
    if (!this.isSilent) this.probes.onTimeout();
    this.close(LossCause.leaseExpired);
  }

  private endRun(run: Run, how: RunEnd, loss?: RunLoss): void {
    this.ledger.remove(run);
    this.opts.listener.onRunEnded(this, run, how, loss);
  }

  private loseRun(run: Run, cause: LossCause): void {
    const isRefused = this.probes.refusedAt >= run.sentAt;
    this.endRun(run, RunEnd.lost, {cause, isRefused});
  }

  private rejectRun(run: Run, reason: RunRefusal): void {
    this.ledger.remove(run);
    this.opts.listener.onRunRefused(this, run, reason);
  }
}
