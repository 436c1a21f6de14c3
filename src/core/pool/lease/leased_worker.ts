import {EndAcknowledgements} from './end_acknowledgements.js';
import {resolveMissingRun} from './resolve_missing_run.js';
import type {LeaseOptions} from './lease_options.js';
import {LossCause} from './loss_cause.js';
import {ProcessInstance} from './process_instance.js';
import {ProbeBackoff} from './probe_backoff.js';
import {Resources} from '../registry/resources.js';
import type {Run} from './run.js';
import {RunLedger} from './run_ledger.js';
import {RunEnd} from './run_end.js';
import type {RunLoss} from './run_loss.js';
import {RunRefusal} from './run_refusal.js';
import type {SentOrder} from './sent_order.js';
import {StartBackoff} from './start_backoff.js';
import type {WorkerClient} from './worker_client.js';
import {WorkerFence} from './worker_fence.js';
import {WorkerLease} from './worker_lease.js';
import {WorkerOrders} from './worker_orders.js';
import type {WorkerReport} from '../registry/worker_report.js';

type StartReply = Awaited<ReturnType<WorkerClient['start']>>;
type PollReply = Awaited<ReturnType<WorkerClient['poll']>>;
type Status = Extract<PollReply, {kind: 'ok'}>['look'];

/**
 * One worker under a lease of this dispatcher. Tracks each run from the start
 * order until it has certainly ended, even if orders or replies are lost.
 */
export class LeasedWorker {
  private readonly ledger = new RunLedger();
  /** Run numbers of runs that another dispatcher started, by task. */
  readonly inherited: ReadonlyMap<string, number> = this.ledger.inherited;
  /** Runs that are stopped since no job has claimed them in time, by task. */
  readonly unclaimed: ReadonlyMap<string, Run> = this.ledger.unclaimed;
  readonly lease: WorkerLease;
  private readonly instance = new ProcessInstance();
  readonly fence: WorkerFence;
  private readonly acks = new EndAcknowledgements();
  private readonly orders: WorkerOrders;
  private pendingPolls = 0;
  private readonly probes = new ProbeBackoff();
  private readonly startBackoff = new StartBackoff();

  constructor(
    private readonly opts: LeaseOptions,
    public report: WorkerReport,
    /** When the last report was received. */
    public seenAt: number,
  ) {
    this.lease = new WorkerLease(opts.leaseMs, opts.resendMs);
    this.orders = new WorkerOrders(opts, this.instance);
    this.fence = new WorkerFence(opts.currentToken);
  }

  /** Runs of this dispatcher that may be active, by task. */
  get runs(): ReadonlyMap<string, Run> {
    return this.ledger.runs;
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

  /** Whether its runs are unknown until it replies. */
  private get needsProbe(): boolean {
    return this.isSilent || !this.fence.isProven;
  }

  /** Whether a task that may crash the worker runs on it. */
  get hasSuspect(): boolean {
    return this.ledger.hasSuspect;
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
      !this.needsProbe &&
      !this.isOutranked &&
      !this.report.isDraining &&
      this.ledger.isAccountedFor &&
      (this.isIdle || !this.lease.isTooShort(now)) &&
      this.startBackoff.isOver(now)
    );
  }

  /** Records a report, which may be the first one of a new process. */
  update(report: WorkerReport, seenAt: number): void {
    const isOther = report.bornAt !== this.report.bornAt;
    this.report = report;
    this.seenAt = seenAt;
    if (!isOther || this.instance.bornAt === report.bornAt) return;
    this.fence.onRestart(seenAt);
    this.probes.makeDue();
  }

  tick(now: number): void {
    this.endExpiredRuns(now);
    if (this.isOutranked || !this.opts.maySendOrders(now)) return;
    for (const run of this.runs.values()) {
      if (run.isStopOverdue(now)) this.sendStop(run, now);
    }
    if (this.pendingPolls === 0) this.pollIfDue(now);
  }

  start(run: Run, payload: string): void {
    const now = this.opts.clock.now();
    const sent = this.orders.describe(now);
    this.ledger.add(run);
    // A worker refuses a start whose lease is over.
    run.startLeaseEnd = this.lease.extend(now, this.ledger) ?? 0;
    void this.orders
      .start(this.report, run, payload)
      .then(reply => this.onStartReply(run, reply, sent));
    this.tick(now);
  }

  /** Takes over a run that another dispatcher started; extends the lease again. */
  adopt(run: Run): void {
    this.ledger.add(run);
    if (this.inherited.size === 0) this.poll(0, this.opts.clock.now());
  }

  /** Requests a stop; the end of the run is reported like any other. */
  stop(run: Run): void {
    if (run.stopRequestedAt !== undefined) return;
    this.sendStop(run, this.opts.clock.now());
  }

  /** Stops inherited runs that no job has claimed, and returns them. */
  stopInherited(): readonly Run[] {
    const now = this.opts.clock.now();
    const runs = this.ledger.takeInherited(now);
    for (const run of runs) this.sendStop(run, now);
    return runs;
  }

  /** Handles a raised token; `isContested` as for `WorkerFence`. */
  onTokenRaised(isContested: boolean): void {
    if (!this.fence.onTokenRaised(isContested)) return;
    const now = this.opts.clock.now();
    this.probes.makeDue();
    // A poll that waits for the end of a run was sent with the earlier token.
    if (this.opts.maySendOrders(now)) this.pollIfDue(now);
  }

  /** Whether inherited runs have been reported since before `at`. */
  hasInheritedSince(at: number): boolean {
    return this.ledger.inheritedSince < at;
  }

  /** Ends all runs, which are known to be over for this reason. */
  close(cause: LossCause): void {
    this.loseRuns([...this.runs.values()], cause);
    this.ledger.inherited.clear();
  }

  private pollIfDue(now: number): void {
    if (this.needsProbe) {
      if (this.probes.takeIfDue(now)) this.poll(0, now);
    } else if (!this.isIdle) {
      this.poll(this.lease.pollWaitMs(now), now);
    } else if (this.acks.isDue(now)) this.poll(0, now);
  }

  private poll(waitMs: number, now: number): void {
    const {orders, lease, ledger, report} = this;
    const sent = orders.describe(now, waitMs);
    this.pendingPolls += 1;
    const send = () => {
      if (this.needsProbe) return orders.probe(report, waitMs);
      const acknowledged = this.acks.take();
      // An unanswered poll may still renew the lease, so a silent worker gets none.
      const mayExtend = lease.isClockKnown && this.opts.maySendOrders(now);
      const leaseEnd = mayExtend ? lease.extend(now, ledger) : undefined;
      return orders.poll(report, {acknowledged, waitMs, leaseEnd});
    };
    void send().then(reply => {
      this.pendingPolls -= 1;
      this.onPollReply(reply, sent);
    });
  }

  private onStartReply(run: Run, reply: StartReply, sent: SentOrder): void {
    if (this.runs.get(run.task) !== run) return;
    const now = this.opts.clock.now();
    switch (reply.kind) {
      case 'ok':
        run.confirmedAt ??= now;
        this.lease.updateClock(reply.clockMs, sent.at, now);
        return;
      case 'refused':
        if (run.confirmedAt !== undefined) return;
        this.startBackoff.onRefusal(reply.reason, now);
        this.rejectRun(run, reply.reason);
        this.onRefusal(reply.reason, sent);
        if (reply.reason === RunRefusal.late) this.poll(0, now);
        return;
      case 'lost':
        if (run.confirmedAt !== undefined) return;
        // The worker may have received the order. A poll shows whether the task
        // runs; if not, a stop prevents a late order from starting it.
        run.isStartRefused = reply.isRefused ?? false;
        this.probes.isRefused ||= run.isStartRefused;
        run.isStartReplyLost = true;
        this.opts.listener.onStartUnanswered(this, run);
        this.poll(0, now);
    }
  }

  /** Handles the refusals that concern the worker and not a single run. */
  private onRefusal(reason: RunRefusal, {token, bornAt}: SentOrder): void {
    if (reason === RunRefusal.fenced) this.fence.recordFenced(token);
    // The process that has replaced the one of the order may be known by now.
    const isKnown = bornAt !== this.instance.bornAt;
    if (reason !== RunRefusal.otherLife || isKnown) return;
    this.fence.reset();
    this.probes.onTimeout();
    this.close(LossCause.restarted);
  }

  private onPollReply(reply: PollReply, sent: SentOrder): void {
    const now = this.opts.clock.now();
    if (reply.kind === 'ok') {
      const wasUsable = this.isUsable(now);
      this.probes.onReply();
      // A part of the list does not show all runs of earlier dispatchers.
      const {isPartial} = reply.look;
      this.fence.recordAccepted(isPartial ? 0 : sent.token, sent.at);
      this.onStatus(reply.look, sent, now);
      if (!wasUsable && this.isUsable(now)) this.opts.listener.onChange(this);
    } else if (reply.kind === 'lost') {
      this.probes.onTimeout(reply.isRefused);
    } else {
      this.onRefusal(reply.reason, sent);
      if (this.isOutranked) this.opts.listener.onChange(this);
      else if (reply.reason !== RunRefusal.otherLife) this.probes.onTimeout();
    }
    this.tick(now);
  }

  private onStatus(status: Status, {at, waitMs}: SentOrder, now: number): void {
    const {bornAt, clockMs} = status;
    if (this.instance.isOutdated(bornAt, at)) return;
    if (bornAt !== undefined && this.instance.update(bornAt, at, now)) {
      this.acks.reset();
      this.lease.reset();
      this.ledger.inherited.clear();
    }
    const waitedMs = status.ended.length === 0 ? waitMs : 0;
    this.lease.updateClock(clockMs, at, now, Math.min(now, at + waitedMs));
    for (const {number, task, run, how} of status.ended) {
      if (this.acks.receive(number, now)) this.onListedEnd(task, run, how);
    }
    const reported = new Map(status.running.map(r => [r.task, r.run]));
    for (const [task, run] of this.ledger.updateInherited(reported, now)) {
      this.lease.inherit(now);
      this.opts.listener.onInheritedRun(this, task, run);
    }
    if (status.isPartial) return;
    const lost: Run[] = [];
    for (const run of [...this.runs.values()]) {
      if (reported.get(run.task) === run.number) run.confirmedAt ??= now;
      else if (this.isLost(run, status, at, now)) lost.push(run);
    }
    const [previous] = lost.flatMap(r => this.instance.previousOf(r) ?? []);
    if (previous === undefined) this.loseRuns(lost, LossCause.notListed);
    else this.loseRuns(lost, LossCause.restarted, previous);
  }

  private onListedEnd(task: string, number: number, how: RunEnd): void {
    const run = this.runs.get(task);
    if (run?.number === number) return this.endRun(run, how);
    if (this.inherited.get(task) === number) this.ledger.inherited.delete(task);
    this.opts.listener.onInheritedRunEnded(task, number, how);
  }

  /**
   * Handles a run that the worker lists neither as active nor as ended; returns
   * whether it is lost.
   */
  private isLost(run: Run, look: Status, sentAt: number, now: number): boolean {
    const outcome = resolveMissingRun(run, look.clockMs, sentAt);
    if (outcome === RunEnd.lost) return true;
    if (outcome) this.rejectRun(run, outcome);
    else if (run.isStartReplyLost && run.stopRequestedAt === undefined) {
      this.sendStop(run, now);
    }
    return false;
  }

  private sendStop(run: Run, now: number): void {
    const sent = this.orders.describe(now);
    run.stopRequestedAt = now;
    void this.orders.stop(this.report, run).then(reply => {
      if (reply.kind === 'ok') run.stoppedAt ??= this.opts.clock.now();
      else if (reply.kind === 'refused') this.onRefusal(reply.reason, sent);
      if (this.pendingPolls === 0) this.tick(this.opts.clock.now());
      else this.poll(0, this.opts.clock.now());
    });
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

  private loseRuns(
    runs: readonly Run[],
    cause: LossCause,
    bornAt = this.instance.bornAt ?? this.report.bornAt,
  ): void {
    if (runs.length === 0) return;
    const lease = this.lease.describe(this.opts.clock.now());
    const loss = {cause, bornAt, isRefused: this.probes.isRefused, ...lease};
    this.opts.listener.onWorkerLost(this, runs, loss);
    for (const run of runs) this.endRun(run, RunEnd.lost, loss);
  }

  private rejectRun(run: Run, reason: RunRefusal): void {
    this.ledger.remove(run);
    this.opts.listener.onRunRefused(this, run, reason);
  }
}
