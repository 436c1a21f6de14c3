import {v7 as uuidv7} from 'uuid';
import {FakeClock} from '../../../test-support/fakes/fake_clock.js';
import {FakeFleet} from '../../../test-support/fakes/fake_fleet.js';
import type {FakeWorker} from '../../../test-support/fakes/fake_worker.js';
import {ReplicaGroup} from '../../../test-support/fakes/replica_group.js';
import {FakeGroup} from '../../../test-support/fakes/fake_group.js';
import type {TestGroup} from '../../../test-support/fakes/test_group.js';
import {ZoneMember} from '../../../test-support/fakes/zone_member.js';
import type {ClassConfig} from '../../core/config/class_config.js';
import {StaticConfigSource} from '../../core/config/static_config_source.js';
import type {JobEvent} from '../../core/job/job_event.js';
import {JobKey} from '../../core/job/job_key.js';
import type {Refusal} from '../../core/job/refusal.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {JobSpec} from '../../core/job/job_spec.js';
import {JobTable} from '../../core/job/job_table.js';
import {RetryPolicy} from '../../core/retry/retry_policy.js';
import type {WorkerAnnouncement} from '../../core/worker/worker_announcement.js';
import {WorkerRegistry} from '../../core/worker/worker_registry.js';
import {GroupKind} from './group_kind.js';
import type {HistoryEvent} from './history_event.js';
import type {Mutation} from './mutation.js';
import {resultOf} from './result_of.js';

const NODES = ['n1', 'n2', 'n3'];
const ANNOUNCE_INTERVAL_MS = 500;
const NETWORK_DELAY_MS = 0.5;
/** The second worker has one slot only, the third has the most memory. */
const WORKER_SIZES = [
  {slots: 2, memory_mb: 1_000},
  {slots: 1, memory_mb: 1_000},
  {slots: 2, memory_mb: 4_000},
];
const CLASSES = [classOf('strict', false), classOf('repeat', true)];

interface Submission {
  readonly key: JobKey;
  readonly body: string;
  readonly className: string;
  readonly repeatable: boolean;
  readonly tasks: ReadonlyArray<{
    readonly ms: number;
    readonly mb: number;
    readonly fail: boolean;
  }>;
}

/**
 * Simulated zone of several members with fake workers. Records what callers and
 * workers observe.
 */
export class ZoneRun {
  readonly clock = new FakeClock();
  readonly history: HistoryEvent[] = [];
  readonly workers = new Map<string, FakeWorker>();
  readonly config = new StaticConfigSource({
    version: 1,
    classes: Object.fromEntries(CLASSES.map(c => [c.name, c])),
    tenants: {},
  });
  /** By worker, the only member that gets its announcements; default: all. */
  readonly announcementRoutes = new Map<string, string>();
  /** Called after an election, so that callers repeat interrupted requests. */
  onLeaderElected: () => void = () => undefined;
  group: TestGroup;
  members: ZoneMember[] = [];
  private readonly fleet: FakeFleet;
  private keyCount = 0;
  private incarnationCount = 0;

  constructor(
    private readonly mutation: Mutation = {},
    private readonly groupKind: GroupKind = GroupKind.fake,
  ) {
    this.fleet = new FakeFleet({clock: this.clock, workers: this.workers});
    WORKER_SIZES.forEach((size, index) =>
      this.addWorker(`w${index + 1}`, size),
    );
    this.group = this.startGroup();
    this.announcePeriodically();
  }

  get leader(): ZoneMember | undefined {
    const node = this.group.leaderNode;
    return this.members.find(member => member.node === node);
  }

  /** Members that act as leader: the current leader and deposed ones. */
  get selfDeclaredLeaders(): ZoneMember[] {
    return this.members.filter(member => member.dispatcher.isLeading);
  }

  newKey(offsetMs = 0): JobKey {
    this.keyCount += 1;
    const random = Uint8Array.from({length: 16}, (_, index) =>
      index >= 12 ? (this.keyCount >>> (8 * (index - 12))) & 0xff : 1,
    );
    const msecs = Math.floor(this.clock.now() + offsetMs);
    const text = `arbat~${uuidv7({msecs, random})}`;
    return JobKey.parse(text).unwrapOrElse(err => {
      throw new Error(err);
    });
  }

  submit(submission: Submission, member = this.leader): void {
    const {key, body, className, repeatable, tasks} = submission;
    if (!member) return;
    const now = this.clock.now();
    const spec: JobSpec = {
      key: key.text,
      keyTimeMs: key.timeMs,
      className,
      tenant: 'default',
      repeatable,
      tasks: tasks.map(({ms, mb, fail}, index) => ({
        payload: {ms, mb, fail, body, value: resultOf(key.text, body, index)},
        memory_mb: mb,
      })),
      fingerprint: body,
      submittedAt: now,
    };
    const {classes} = this.config.current();
    const result = member.dispatcher.submit(key, spec, now);
    const recordSubmit = (refusal: Refusal | undefined) =>
      this.record({
        kind: 'submit',
        key: key.text,
        body,
        tasks: tasks.length,
        repeatable: repeatable && classes[className]?.repeatable === true,
        byLeader: member === this.leader,
        refusal,
      });
    if (result.isOk) return recordSubmit(undefined);
    const refusal = result.error;
    if (refusal.outcome !== RunOutcome.notRun) return recordSubmit(refusal);
    member.dispatcher.confirmRefusal(spec, refusal, confirmed =>
      recordSubmit(confirmed.isErr ? confirmed.error : undefined),
    );
  }

  cancel(key: JobKey, member = this.leader): void {
    const result = member?.dispatcher.cancel(key, this.clock.now());
    const taken = result?.isOk ?? false;
    this.record({kind: 'cancel', key: key.text, taken});
  }

  /** Records a member's present answer; false if it does not know the job. */
  fetch(key: string, member = this.leader): boolean {
    if (!member?.dispatcher.isLeading) return false;
    const record = member.table.get(key);
    if (!record) return member.dispatcher.isActive(key);
    const answer = member.table.answer(record);
    // A deposed leader may validly report a finished job as running.
    if (answer.status === 'running' && member !== this.leader) return true;
    this.record({kind: 'answer', key, answer});
    return true;
  }

  acknowledge(key: JobKey): void {
    this.leader?.dispatcher.acknowledge(key.text);
    this.record({kind: 'acknowledge', key: key.text});
  }

  restart(worker: FakeWorker): void {
    this.incarnationCount += 1;
    worker.restart(`i${this.incarnationCount}`);
    this.expireLease(worker);
    worker.announcement = {...worker.announcement, leaving: false};
  }

  /** Delivers the present announcement once more, after later ones. */
  announceAgainLate(worker: FakeWorker, lateMs: number): void {
    const {announcement} = worker;
    this.clock.schedule(lateMs, () => this.deliver(worker, announcement));
  }

  /** Restarts all members at once, so that all state is lost. */
  restartAllMembers(): void {
    this.record({kind: 'memory_lost'});
    for (const member of this.members) member.isStopped = true;
    this.group.stop();
    this.group = this.startGroup();
  }

  /** Replaces the leader's process by a new one with empty state. */
  restartLeader(): void {
    const index = this.members.findIndex(member => member === this.leader);
    const previous = this.members[index];
    if (!previous) return;
    previous.isStopped = true;
    this.members[index] = this.createMember(this.group, previous.node);
  }

  record(event: HistoryEventBody): void {
    this.history.push({at: this.clock.now(), ...event} as HistoryEvent);
  }

  private startGroup(): TestGroup {
    const group = this.createGroup();
    this.members = NODES.map(node => this.createMember(group, node));
    group.start();
    return group;
  }

  private createGroup(): TestGroup {
    const {clock, mutation} = this;
    const onCommitted = (event: JobEvent) => {
      if (event.kind !== 'accepted') return;
      const {key, fingerprint: body} = event.job;
      this.record({kind: 'committed', key, body});
    };
    if (this.groupKind === GroupKind.fake) {
      return new FakeGroup({clock, onCommitted, ...mutation.group});
    }
    return new ReplicaGroup({
      clock,
      members: NODES,
      onCommitted,
      onLeader: () => clock.defer(() => this.onLeaderElected()),
      onStateLost: () => this.record({kind: 'memory_lost'}),
    });
  }

  private createMember(group: TestGroup, node: string): ZoneMember {
    const {clock, mutation} = this;
    const table = new JobTable();
    return new ZoneMember({
      node,
      clock,
      table,
      replicator: group.addMember(node, table),
      registry: mutation.registry?.() ?? new WorkerRegistry(),
      retry: mutation.retry?.() ?? new RetryPolicy(),
      config: this.config,
      upstream: new FakeFleet({clock, workers: this.workers}),
      // A waiting caller gets the answer after the commit has been applied.
      onFinished: (member, key) => clock.defer(() => this.fetch(key, member)),
    });
  }

  private addWorker(
    id: string,
    size: {readonly slots: number; readonly memory_mb: number},
  ): void {
    const worker = this.fleet.add({
      worker: id,
      incarnation: `${id}-1`,
      sequence: 0,
      zone: 'arbat',
      rack: 'rack-1',
      address: `http://127.0.0.1/${id}`,
      connections: 64,
      processors: 32,
      accelerators: 0,
      classes: [],
      leaving: false,
      epoch: 0,
      ...size,
    });
    worker.rules = this.mutation.worker ?? {};
    this.expireLease(worker);
    this.record({
      kind: 'size',
      worker: id,
      slots: size.slots,
      connections: 64,
      memoryMb: size.memory_mb,
    });
    worker.observer = {
      started: (_, start) => {
        const payload = start.payload as {body: string; mb: number};
        this.record({
          kind: 'start',
          key: start.key,
          body: payload.body,
          task: start.task,
          attempt: start.id,
          worker: id,
          incarnation: worker.announcement.incarnation,
          memoryMb: payload.mb,
          sentAt: worker.sentAt.get(start.id) ?? 0,
        });
      },
      ended: (_, report) =>
        this.record({
          kind: 'end',
          attempt: report.id,
          worker: id,
          incarnation: worker.announcement.incarnation,
          succeeded: report.state === 'succeeded',
        }),
    };
  }

  private expireLease(worker: FakeWorker): void {
    if (worker.rules.obeysLease !== false) worker.leaseExpiresAt = 0;
  }

  private announcePeriodically(): void {
    for (const worker of this.workers.values()) {
      if (worker.isDead) continue;
      const announcement = worker.nextAnnouncement();
      if (worker.isCut || worker.dropsOutput) continue;
      this.clock.schedule(NETWORK_DELAY_MS, () =>
        this.deliver(worker, announcement),
      );
    }
    this.clock.schedule(ANNOUNCE_INTERVAL_MS, () =>
      this.announcePeriodically(),
    );
  }

  private deliver(worker: FakeWorker, announcement: WorkerAnnouncement): void {
    const sentAt = this.clock.now() - NETWORK_DELAY_MS;
    const {incarnation} = announcement;
    const route = this.announcementRoutes.get(announcement.worker);
    for (const member of this.members) {
      if (route !== undefined && member.node !== route) continue;
      const now = this.clock.now();
      const accepted = member.dispatcher.announce(announcement, now);
      const epoch = member.replicator.leadingEpoch;
      if (!accepted || epoch === undefined) continue;
      if (announcement.leaving && member === this.leader) {
        const {worker: id} = announcement;
        this.record({kind: 'leaving', worker: id, incarnation});
      }
      this.clock.schedule(NETWORK_DELAY_MS, () => {
        if (worker.isCut || worker.dropsInput) return;
        worker.renewLease(incarnation, epoch, sentAt + WorkerRegistry.LEASE_MS);
      });
    }
  }
}

type WithoutTime<T> = T extends unknown ? Omit<T, 'at'> : never;
type HistoryEventBody = WithoutTime<HistoryEvent>;

function classOf(name: string, repeatable: boolean): ClassConfig {
  return {
    name,
    target_ms: 2_000,
    percentile: 99,
    repeatable,
    memory_mb: 0,
    accelerators: 0,
  };
}
