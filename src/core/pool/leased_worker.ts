import {endOfAbsent} from './end_of_absent.js';
import type {LeaseOptions} from './lease_options.js';
import {LeaseTiming} from './lease_timing.js';
import {ProbePace} from './probe_pace.js';
import {Resources} from './resources.js';
import type {Run} from './run.js';
import {RunLedger} from './run_ledger.js';
import {RunEnd} from './run_end.js';
import {RunRefusal} from './run_refusal.js';
import type {WorkerClient} from './worker_client.js';
import {WorkerFence} from './worker_fence.js';
import {WorkerLease} from './worker_lease.js';
import type {WorkerReport} from './worker_report.js';

const {
  LOOK_WAIT_MS,
  LOOK_GRACE_MS,
  ORDER_TIMEOUT_MS,
  PROBE_INTERVAL_MS,
  IDLE_ACK_MS,
} = LeaseTiming;

type LookReply = Awaited<ReturnType<WorkerClient['poll']>>;
type Look = Extract<LookReply, {kind: 'ok'}>['look'];

/**
 * One worker under the lease of this lead: its runs from the start order until
 * it is certain that they are over, whatever answers are lost on the way.
 */
export class LeasedWorker {
  private readonly ledger = new RunLedger();
  private readonly lease: WorkerLease;
  private bornAt: number | undefined;
  private readonly fence: WorkerFence;
  private acknowledged = 0;
  private acknowledgedSent = 0;
  private endedAt = 0;
  private openLooks = 0;
  private readonly probes = new ProbePace();
  private noRoomUntil = 0;

  constructor(
    private readonly opts: LeaseOptions,
    public report: WorkerReport,
    /** When the last report came. */
    public seenAt: number,
  ) {
    this.lease = new WorkerLease(opts.leaseMs);
    this.fence = new WorkerFence(opts.currentToken);
  }

  /** Runs that may hold room, by task. */
  get runs(): ReadonlyMap<string, Run> {
    return this.ledger.runs;
  }

  /** Runs that an earlier lead began, by task; the values are run numbers. */
  get foreign(): ReadonlyMap<string, number> {
    return this.ledger.foreign;
  }

  /** Whether it has answered under this lead's token. */
  get isFenced(): boolean {
    return this.fence.isObeyed;
  }

  /** Whether it obeys a higher token. */
  get isOutranked(): boolean {
    return this.fence.isOutranked;
  }

  get isSilent(): boolean {
    return this.probes.isSilent;
  }

  get isIdle(): boolean {
    return this.ledger.isEmpty;
  }

  get room(): Resources {
    return Resources.minus(this.report.capacity, this.ledger.used);
  }

  /** Whether it may be given a start. */
  isUsable(now: number): boolean {
    return (
      this.isFenced &&
      !this.isOutranked &&
      !this.isSilent &&
      !this.report.isDraining &&
      this.foreign.size === 0 &&
      now >= this.noRoomUntil
    );
  }

  /** Does what is due; called often. */
  tick(now: number): void {
    this.dropLapsed(now);
    if (this.isOutranked || !this.opts.mayOrder(now)) return;
    this.retryStops(now);
    if (this.openLooks === 0) this.lookIfDue(now);
  }

  /** Gives a start order. */
  start(run: Run, payload: string): void {
    const {client, clock} = this.opts;
    const {token} = this;
    const now = clock.now();
    this.ledger.add(run);
    const leaseEnd = this.lease.extend(now);
    run.startLeaseEnd = leaseEnd;
    const order = {task: run.task, run: run.number, token, payload, leaseEnd};
    void client
      .start(this.report, order, ORDER_TIMEOUT_MS)
      .then(reply => this.onStartReply(run, reply, now, token));
    this.tick(now);
  }

  /** Takes over a run that an earlier lead began. */
  adopt(run: Run): void {
    this.ledger.add(run);
  }

  /** Asks for a stop; the run's end is told as any other. */
  stop(run: Run): void {
    if (run.stopAskedAt !== undefined) return;
    this.sendStop(run, this.opts.clock.now());
  }

  /** Stops what an earlier lead began and nobody asked for since. */
  stopForeign(): void {
    const now = this.opts.clock.now();
    for (const run of this.ledger.takeForeign(now)) this.sendStop(run, now);
  }

  /** The lead's token has been raised; the worker may obey it again. */
  onTokenRaised(): void {
    if (this.fence.raise()) this.probes.hurry();
  }

  /** Whether runs of other leads have been listed since before `at`. */
  hasForeignSince(at: number): boolean {
    return this.ledger.foreignSince < at;
  }

  /** Ends all runs of a life that is known to be over. */
  close(): void {
    for (const run of [...this.runs.values()]) this.end(run, RunEnd.lost);
    this.ledger.foreign.clear();
  }

  private get token(): number {
    return this.opts.currentToken();
  }

  private lookIfDue(now: number): void {
    if (this.isSilent || !this.isFenced) {
      if (this.probes.takeDue(now)) this.look(0, now);
    } else if (!this.isIdle) {
      this.look(LOOK_WAIT_MS, now);
    } else if (this.acknowledged > this.acknowledgedSent) {
      if (now - this.endedAt >= IDLE_ACK_MS) this.look(0, now);
    }
  }

  private look(waitMs: number, now: number): void {
    const {client} = this.opts;
    const {acknowledged, token} = this;
    // A look that gets no answer may still have renewed the lease, which would
    // keep the runs of an unreachable worker alive for good.
    const mayExtend = this.lease.isKnown && !this.isSilent;
    const leaseEnd = mayExtend ? this.lease.extend(now) : undefined;
    this.openLooks += 1;
    this.acknowledgedSent = acknowledged;
    void client
      .poll(
        this.report,
        {token, acknowledged, waitMs, leaseEnd},
        waitMs + LOOK_GRACE_MS,
      )
      .then(reply => {
        this.openLooks -= 1;
        this.onLookReply(reply, now, token);
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
        this.lease.note(reply.clockMs, sentAt, now);
        return;
      case 'refused':
        if (run.confirmedAt !== undefined) return;
        this.onRefused(run, reply.reason, now, token);
        return;
      case 'lost':
        if (run.confirmedAt !== undefined) return;
        // The answer is lost, not necessarily the order: a look tells whether
        // the task runs, and a stop keeps a late order from starting it.
        run.isDoubtful = true;
        this.look(0, now);
        return;
    }
  }

  private onRefused(
    run: Run,
    reason: RunRefusal,
    now: number,
    token: number,
  ): void {
    if (reason === RunRefusal.noRoom) this.noRoomUntil = now + 100;
    if (reason === RunRefusal.unhealthy || reason === RunRefusal.invalid) {
      this.noRoomUntil = now + 500;
    }
    this.ledger.remove(run);
    this.opts.listener.refused(this, run, reason);
    this.noteRefusal(reason, token);
  }

  /** What a refusal of any order says of the worker. */
  private noteRefusal(reason: RunRefusal, token: number): void {
    if (reason === RunRefusal.fenced) this.fence.refused(token);
    if (reason === RunRefusal.otherLife) this.onOtherLife();
  }

  /** The process that held the runs is gone, and they with it. */
  private onOtherLife(): void {
    this.fence.forget();
    this.probes.missed();
    this.close();
  }

  private onLookReply(reply: LookReply, sentAt: number, token: number): void {
    const now = this.opts.clock.now();
    if (reply.kind === 'ok') {
      const wasUsable = this.isUsable(now);
      this.probes.answered();
      this.onLook(reply.look, sentAt, now);
      if (!wasUsable && this.isUsable(now)) this.opts.listener.changed(this);
    } else if (reply.kind === 'lost') {
      this.probes.missed();
    } else {
      this.noteRefusal(reply.reason, token);
      if (this.isOutranked) this.opts.listener.changed(this);
      else if (reply.reason !== RunRefusal.otherLife) this.probes.missed();
    }
    this.tick(now);
  }

  private onLook(look: Look, sentAt: number, now: number): void {
    if (look.bornAt !== undefined) this.noteLife(look.bornAt);
    this.lease.note(look.clockMs, sentAt, now);
    this.fence.obeyed();
    for (const {number, task, run, how} of look.ended) {
      if (number <= this.acknowledged) continue;
      this.acknowledged = number;
      this.endedAt = now;
      this.noteEnd(task, run, how);
    }
    const listed = new Map(look.running.map(r => [r.task, r.run]));
    this.ledger.noteListed(listed, now);
    if (look.isPartial) return;
    for (const run of [...this.runs.values()]) {
      if (listed.get(run.task) === run.number) run.confirmedAt ??= now;
      else this.noteAbsent(run, look, sentAt, now);
    }
  }

  private noteLife(bornAt: number): void {
    if (this.bornAt !== undefined && bornAt !== this.bornAt) {
      this.acknowledged = 0;
      this.acknowledgedSent = 0;
      this.lease.reset();
      this.ledger.foreign.clear();
    }
    this.bornAt = bornAt;
  }

  private noteEnd(task: string, number: number, how: RunEnd): void {
    const run = this.runs.get(task);
    if (run && run.number === number) {
      this.end(run, how);
      return;
    }
    if (this.foreign.get(task) === number) this.ledger.foreign.delete(task);
    this.opts.listener.foreignEnded(task, number, how);
  }

  /** A run that is neither running nor among the ends that are listed. */
  private noteAbsent(run: Run, look: Look, sentAt: number, now: number): void {
    const over = endOfAbsent(run, look.clockMs, sentAt);
    if (over === RunEnd.lost) this.end(run, over);
    else if (over) this.refuse(run, over);
    else if (run.isDoubtful && run.stopAskedAt === undefined) {
      this.sendStop(run, now);
    }
  }

  private sendStop(run: Run, now: number): void {
    const {client, clock} = this.opts;
    const {token} = this;
    run.stopAskedAt = now;
    const order = {task: run.task, run: run.number, token};
    void client.stop(this.report, order, ORDER_TIMEOUT_MS).then(reply => {
      if (reply.kind === 'ok') run.stoppedAt ??= clock.now();
      else if (reply.kind === 'refused') this.noteRefusal(reply.reason, token);
      if (this.openLooks === 0) this.tick(clock.now());
      else this.look(0, clock.now());
    });
  }

  private retryStops(now: number): void {
    for (const run of this.runs.values()) {
      if (run.stopAskedAt === undefined || run.stoppedAt !== undefined) {
        continue;
      }
      const waited = now - run.stopAskedAt;
      if (waited > ORDER_TIMEOUT_MS + PROBE_INTERVAL_MS) {
        this.sendStop(run, now);
      }
    }
  }

  /** Without a renewal the worker itself has ended everything. */
  private dropLapsed(now: number): void {
    if (this.runs.size === 0 || !this.lease.isOver(now)) return;
    this.fence.forget();
    if (!this.isSilent) this.probes.missed();
    this.close();
  }

  private end(run: Run, how: RunEnd): void {
    this.ledger.remove(run);
    this.opts.listener.ended(this, run, how);
  }

  private refuse(run: Run, reason: RunRefusal): void {
    this.ledger.remove(run);
    this.opts.listener.refused(this, run, reason);
  }
}
