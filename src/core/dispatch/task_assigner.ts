import {overflowJobKey} from '../overflow/overflow_job_key.js';
import {ZoneWorker} from '../overflow/zone_worker.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerState} from '../worker/worker_state.js';
import type {ActiveJob} from './active_job.js';
import type {Assignment} from './assignment.js';
import type {DispatcherOptions} from './dispatcher_options.js';
import {EvacuationGate} from './evacuation_gate.js';
import {Fleet} from './fleet.js';
import type {FleetView} from './fleet_view.js';

type TaskAssignerOptions = Pick<
  DispatcherOptions,
  'clock' | 'config' | 'policy' | 'registry' | 'requestFlush'
>;

/** Assigns queued tasks to free slots in the order of the policy. */
export class TaskAssigner {
  private sequence = 0;
  private readonly local: Fleet;
  /** Other zones as workers whose slots this zone may borrow. */
  private readonly borrowed: Fleet;
  private readonly evacuation: EvacuationGate;

  constructor(
    private readonly opts: TaskAssignerOptions,
    private readonly active: ReadonlyMap<string, ActiveJob>,
  ) {
    const {registry} = opts;
    this.evacuation = new EvacuationGate(opts);
    this.local = new Fleet(registry, ({id}) => !ZoneWorker.isZone(id));
    this.borrowed = new Fleet(registry, ({id}) => ZoneWorker.isZone(id));
  }

  /** Current view of the zone's own workers. */
  localFleet(epoch: number, now: number): FleetView {
    return this.local.refresh(epoch, now);
  }

  /** Occupies slots; returns the attempts whose intents must be proposed. */
  assign(epoch: number, now: number): RunningAttempt[] {
    const {policy} = this.opts;
    this.evacuation.tick(now);
    if (policy.queued === 0) return [];
    const local = this.localFleet(epoch, now);
    const placed = this.fill(local, epoch, now);
    if (policy.queued === 0) return placed;
    const lent = this.borrowed.refresh(epoch, now);
    if (lent.freeSlots === 0) return placed;
    // Fair shares depend on the zone's own slots only, not on borrowed ones.
    const {totalSlots, totalWorkers} = local;
    const {startable, freeSlots, rackLoads} = lent;
    const borrowed = {
      startable,
      freeSlots,
      rackLoads,
      totalSlots,
      totalWorkers,
    };
    return placed.concat(this.fill(borrowed, epoch, now));
  }

  private fill(fleet: FleetView, epoch: number, now: number): RunningAttempt[] {
    const {policy} = this.opts;
    const placed: RunningAttempt[] = [];
    for (;;) {
      const assignment = policy.next(fleet, now);
      if (!assignment) return placed;
      const {task, worker} = assignment;
      const job = this.active.get(task.key);
      if (!job) continue;
      if (job.spec.lentTo !== undefined && ZoneWorker.isZone(worker.id)) {
        // A task received from another zone is not forwarded to a third one.
        policy.enqueue(job.queueTask(task.index), now);
        return placed;
      }
      placed.push(this.place(job, assignment, epoch, now));
    }
  }

  private place(
    job: ActiveJob,
    {task, worker}: Assignment,
    epoch: number,
    now: number,
  ): RunningAttempt {
    const attempt: RunningAttempt = {
      id: this.attemptId(worker, epoch, now),
      key: task.key,
      task: task.index,
      worker: worker.id,
      incarnation: worker.incarnation,
      className: task.className,
      tenant: task.tenant,
      memoryMb: task.memoryMb,
      accelerators: task.accelerators,
      phase: 'proposed',
      since: now,
      stopping: false,
    };
    job.queued.delete(task.index);
    job.attempts.set(attempt.id, attempt);
    worker.occupy(attempt);
    this.opts.policy.started(attempt, now);
    return attempt;
  }

  private attemptId(worker: WorkerState, epoch: number, now: number): string {
    const zone = ZoneWorker.zoneOf(worker.id);
    this.sequence += 1;
    return zone === undefined
      ? `${epoch}.${this.sequence}`
      : overflowJobKey(
          zone,
          worker.announcement.zone,
          epoch,
          this.sequence,
          now,
        );
  }
}
