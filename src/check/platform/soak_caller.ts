import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {Clock} from '../../core/clock/clock.js';
import type {EmulatedDeployment} from '../../platform/emulator/emulated_deployment.js';
import {EmulatedJob} from '../../platform/emulator/emulated_job.js';
import type {EmulatedProcess} from '../../platform/emulator/emulated_process.js';
import type {OpenRequests} from '../processes/open_requests.js';
import type {SoakHistory} from './soak_history.js';
import type {SoakJob} from './soak_job.js';

type Attempt = SoakJob['attempts'][number];

/** Time until a caller sends a job again whose outcome is unclear, in ms. */
const RETRANSMIT_MS = 1_300;
/** 408 is the reply to a connection on which no request was sent in time. */
const UNCLEAR: readonly number[] = [408, 502, 504];
const MAX_ATTEMPTS = 4;
const MIN_DEADLINE_MS = 800;
const MAX_DEADLINE_MS = 5_000;
/** Time beyond the deadline in which the answer must arrive, in ms. */
const ANSWER_SLACK_MS = 3_000;
/** Longest time for which a process is suspended, in ms. */
const MAX_SUSPENSION_MS = 6_000;
/** A stopping process finishes the requests that are older than this, in ms. */
const UNREAD_MS = 1_000;
/** Time from SIGTERM until a process may break off requests, in ms. */
const LAST_CHANCE_MS = 5_000;
/** Share of the requests whose callers disconnect at the deadline. */
const IMPATIENT_SHARE = 0.5;
const MIN_TASK_MS = 20;
const MAX_TASK_MS = 2_500;
const MAX_TASK_CPU = 2_000;
const MAX_PAUSE_MS = 300;

interface CallerOptions {
  readonly clock: Clock;
  readonly deployment: EmulatedDeployment;
  readonly requests: OpenRequests;
  readonly history: SoakHistory;
  readonly random: SeededRandom;
  readonly zone: string;
  /** Maximum number of tasks of a job. */
  readonly maxTasks: number;
}

/** Sends one job after another to the entry processes of its zone. */
export class SoakCaller {
  private isStopped = false;

  constructor(private readonly opts: CallerOptions) {}

  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.runJob();
      await this.sleep(this.opts.random.integerBelow(MAX_PAUSE_MS));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Sends one job until its outcome is clear. */
  async runJob(): Promise<void> {
    const {history, random, deployment, zone} = this.opts;
    const record = history.add(this.createJob());
    const service = random.next() < 0.5 ? 'guarded' : 'unguarded';
    let entries = deployment
      .ofRole('entry')
      .filter(({opts}) => opts.zone === zone);
    for (let n = 0; n < MAX_ATTEMPTS && !this.isStopped; n += 1) {
      const entry = entries[random.integerBelow(entries.length)]!;
      if (await this.attempt(record, entry, service)) return;
      // Repetitions go to another process, if there is one.
      const others = entries.filter(each => each !== entry);
      if (others.length > 0) entries = others;
      await this.sleep(RETRANSMIT_MS);
    }
  }

  /** Sends the job once; true if the outcome is clear. */
  private async attempt(
    record: SoakJob,
    entry: EmulatedProcess,
    service: 'guarded' | 'unguarded',
  ): Promise<boolean> {
    const {history, random, deployment, requests, clock} = this.opts;
    const deadlineMs = random.integerBetween(MIN_DEADLINE_MS, MAX_DEADLINE_MS);
    const isImpatient = random.next() < IMPATIENT_SHARE;
    const attempt: Attempt = {
      entry: entry.opts.address,
      sentAt: clock.now(),
      outcome: undefined,
      endedAt: undefined,
    };
    record.attempts.push(attempt);
    const reply = await requests.attempt({
      ...deployment.submission(entry, record.job, {service, deadlineMs}),
      timeoutMs: isImpatient
        ? deadlineMs
        : deadlineMs + MAX_SUSPENSION_MS + ANSWER_SLACK_MS,
    });
    attempt.endedAt = clock.now();
    attempt.outcome = reply.isOk ? reply.value.status : reply.error;
    const state = reply.isOk ? reply.value.body['state'] : undefined;
    history.onReply(record, attempt, state);
    if (attempt.outcome === 'broken') this.checkBroken(record, attempt, entry);
    else this.checkTime(record, attempt, entry, deadlineMs);
    return reply.isOk && !UNCLEAR.includes(reply.value.status);
  }

  /** A suspended process reads the request only when it runs again. */
  private checkTime(
    record: SoakJob,
    {sentAt, endedAt}: Attempt,
    entry: EmulatedProcess,
    deadlineMs: number,
  ): void {
    const disturbedUntil = entry.lastDisturbance('suspend', 'kill', 'stop');
    const limit =
      Math.max(sentAt, disturbedUntil) + deadlineMs + ANSWER_SLACK_MS;
    if (endedAt! <= limit) return;
    const detail = `no answer by the deadline of ${deadlineMs} ms`;
    this.opts.history.report('ANSWER', detail, record);
  }

  /** A connection breaks only if its process is killed or has to stop. */
  private checkBroken(
    record: SoakJob,
    {sentAt, endedAt}: Attempt,
    entry: EmulatedProcess,
  ): void {
    if (entry.lastDisturbance('kill', 'suspend') >= sentAt) return;
    if (entry.lastDisturbance('stop') >= sentAt) {
      // It may not have been read, or not be finished within the grace period.
      if (endedAt! - sentAt < UNREAD_MS) return;
      if (endedAt! - entry.stoppedAt > LAST_CHANCE_MS) return;
    }
    const detail = 'the connection broke while its process served';
    this.opts.history.report('LOST', detail, record);
  }

  private createJob(): EmulatedJob {
    const {random, maxTasks} = this.opts;
    const id = Array.from({length: 16}, () =>
      random.integerBelow(16).toString(16),
    );
    const steps = random.next() < 0.2 ? 2 : 1;
    return new EmulatedJob(
      id.join(''),
      Array.from({length: steps}, () => ({
        tasks: random.integerBetween(1, maxTasks),
        cpu: random.integerBetween(1, MAX_TASK_CPU),
        memoryMb: 64,
        // Most tasks are short.
        runMs: Math.round(MIN_TASK_MS + MAX_TASK_MS * random.next() ** 3),
      })),
    );
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.opts.clock.schedule(ms, resolve));
  }
}
