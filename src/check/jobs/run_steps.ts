import type {FakeWorker} from '../../../test-support/fakes/fake_worker.js';
import {GroupKind} from './group_kind.js';
import type {HistoryEvent} from './history_event.js';
import type {Mutation} from './mutation.js';
import type {Step} from './step.js';
import {ZoneRun} from './zone_run.js';

type Action = Step['action'];
type Submission = Parameters<ZoneRun['submit']>[0];
type WorkerAction = Extract<Action, {worker: number}>;

const WARM_UP_MS = 3_000;
const RETENTION_MS = 620_000;
/** Delay after which an announcement arrives later than its successors. */
const LATE_ANNOUNCEMENT_MS = 1_200;
/**
 * Time after the end of all faults within which leases and orphaned attempts
 * expire and all tasks run one after another on the smallest fleet, including
 * retry backoff.
 */
const RECOVERY_MS = 40_000;
/** Time within which jobs that were submitted again get their answers. */
const RESUBMISSION_MS = 25_000;

/** Runs steps, ends all faults, waits for recovery, and returns the history. */
export function runSteps(
  steps: readonly Step[],
  mutation: Mutation = {},
  kind: GroupKind = GroupKind.fake,
): HistoryEvent[] {
  const run = new StepRunner(mutation, kind);
  run.zone.clock.advance(WARM_UP_MS);
  for (const {waitMs, action} of steps) {
    run.zone.clock.advance(waitMs);
    run.execute(action);
  }
  run.healAndFinish();
  return run.zone.history;
}

class StepRunner {
  readonly zone: ZoneRun;
  private readonly jobs: Submission[] = [];

  constructor(
    mutation: Mutation,
    private readonly kind: GroupKind,
  ) {
    this.zone = new ZoneRun(mutation, kind);
    this.zone.onLeaderElected = () => this.fetchAll();
  }

  execute(action: Action): void {
    const {zone} = this;
    if ('worker' in action) {
      this.executeOnWorker(action);
      return;
    }
    switch (action.kind) {
      case 'submit': {
        const key = zone.newKey();
        const {className, repeatable, tasks} = action;
        this.submit({key, body: 'a', className, repeatable, tasks});
        return;
      }
      case 'submit_aged':
        this.submit({
          key: zone.newKey(action.offsetMs),
          body: 'a',
          className: 'repeat',
          repeatable: true,
          tasks: [{ms: 50, mb: 0, fail: false}],
        });
        return;
      case 'take_over':
        this.takeOver(action);
        // Callers whose connection has closed fetch from the new leader.
        this.fetchAll();
        return;
      case 'stall_commits':
        zone.group.stall(action.ms);
        return;
      case 'all_die':
        for (const worker of zone.workers.values()) worker.kill();
        return;
      case 'lose_memory':
        zone.restartAllMembers();
        return;
      case 'delete_class':
        this.deleteClass();
        return;
      case 'pass_retention':
        zone.clock.advance(RETENTION_MS);
        return;
      default:
        this.executeOnJob(action.kind, action.job);
    }
  }

  /**
   * Ends all faults, submits the jobs again that the leader does not know, and
   * fetches all answers.
   */
  healAndFinish(): void {
    const {zone} = this;
    for (const worker of zone.workers.values()) this.heal(worker);
    zone.clock.advance(RECOVERY_MS);
    const unknownJobs = this.jobs.filter(({key}) => !zone.fetch(key.text));
    for (const job of unknownJobs) zone.submit(job);
    zone.clock.advance(RESUBMISSION_MS);
    for (const {key} of this.jobs) zone.fetch(key.text);
    zone.record({kind: 'quiet'});
  }

  private takeOver(action: Extract<Action, {kind: 'take_over'}>): void {
    const {zone} = this;
    const isReplica = this.kind === GroupKind.replica;
    if (isReplica && action.noticedAfterMs === 0) zone.restartLeader();
    else zone.group.takeOver(`n${action.node + 1}`, action);
  }

  private fetchAll(): void {
    for (const {key} of this.jobs) this.zone.fetch(key.text);
  }

  private submit(submission: Submission): void {
    this.jobs.push(submission);
    this.zone.submit(submission);
  }

  private executeOnJob(
    kind: Extract<Action, {job: number}>['kind'],
    index: number,
  ): void {
    const {zone} = this;
    if (kind === 'cancel_then_submit' || kind === 'submit_then_cancel') {
      this.submitAndCancel(kind);
      return;
    }
    const job = this.jobs[index % Math.max(1, this.jobs.length)];
    if (!job) return;
    // A deposed leader gets requests until it steps down.
    const member =
      zone.selfDeclaredLeaders[
        index % Math.max(1, zone.selfDeclaredLeaders.length)
      ];
    switch (kind) {
      case 'resubmit':
        zone.submit(job, member);
        return;
      case 'submit_other_body':
        zone.submit({...job, body: 'b'}, member);
        return;
      case 'cancel':
        zone.cancel(job.key, member);
        return;
      case 'fetch':
        zone.fetch(job.key.text, member);
        return;
      case 'acknowledge':
        zone.acknowledge(job.key);
        return;
    }
  }

  /** Cancels and submits the same key at the same simulated time. */
  private submitAndCancel(
    kind: 'cancel_then_submit' | 'submit_then_cancel',
  ): void {
    const {zone} = this;
    const submission: Submission = {
      key: zone.newKey(),
      body: 'a',
      className: 'strict',
      repeatable: true,
      tasks: [{ms: 100, mb: 0, fail: false}],
    };
    if (kind === 'cancel_then_submit') {
      zone.cancel(submission.key);
      this.submit(submission);
      return;
    }
    this.submit(submission);
    zone.cancel(submission.key);
    zone.submit(submission);
  }

  private executeOnWorker(action: WorkerAction): void {
    const {zone} = this;
    const worker = [...zone.workers.values()][action.worker]!;
    switch (action.kind) {
      case 'die':
        worker.kill();
        return;
      case 'restart':
        zone.restart(worker);
        return;
      case 'cut':
        worker.isCut = true;
        return;
      case 'deafen':
        worker.dropsInput = true;
        return;
      case 'mute':
        worker.dropsOutput = true;
        return;
      case 'heal':
        this.heal(worker);
        return;
      case 'fail_all':
        worker.isFailing = true;
        return;
      case 'refuse_all':
        worker.isRefusing = true;
        return;
      case 'leave':
        worker.announcement = {...worker.announcement, leaving: true};
        return;
      case 'repeat_reports':
        worker.duplicatesReports = true;
        return;
      case 'restart_then_late_announcement':
        zone.announceAgainLate(worker, LATE_ANNOUNCEMENT_MS);
        zone.restart(worker);
        return;
      case 'late_announcement':
        zone.announceAgainLate(worker, LATE_ANNOUNCEMENT_MS);
        return;
      case 'announce_to_one':
        zone.announcementRoutes.set(
          worker.announcement.worker,
          `n${action.node + 1}`,
        );
        return;
      case 'lie_about_usage':
        worker.announcement = {
          ...worker.announcement,
          usage: {slots_used: worker.running === 0 ? 4 : 0},
        };
        return;
      case 'straggle':
        worker.runTimeFactor = 1 + action.amount / 1_000;
        return;
      case 'delay_starts':
        worker.startDelayMs = action.amount;
        return;
      case 'delay_reports':
        worker.reportDelayMs = action.amount;
        return;
    }
  }

  private heal(worker: FakeWorker): void {
    worker.isCut = false;
    worker.dropsInput = false;
    worker.dropsOutput = false;
    worker.isFailing = false;
    worker.isRefusing = false;
    worker.duplicatesReports = false;
    worker.runTimeFactor = 1;
    worker.startDelayMs = 0;
    worker.reportDelayMs = 0;
    this.zone.announcementRoutes.delete(worker.announcement.worker);
    if (worker.isDead || worker.announcement.leaving) this.zone.restart(worker);
  }

  private deleteClass(): void {
    const {config} = this.zone;
    const {version, classes, tenants} = config.current();
    const kept = Object.entries(classes).filter(([name]) => name !== 'repeat');
    config.set({
      version: version + 1,
      classes: Object.fromEntries(kept),
      tenants,
    });
  }
}
