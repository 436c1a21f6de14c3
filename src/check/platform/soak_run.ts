import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {SteadyClock} from '../../adapter/steady_clock.js';
import {EmulatedDeployment} from '../../platform/emulator/emulated_deployment.js';
import {EmulatedJob} from '../../platform/emulator/emulated_job.js';
import type {EmulatedProcess} from '../../platform/emulator/emulated_process.js';
import {OpenRequests} from '../processes/open_requests.js';
import {SoakCaller} from './soak_caller.js';
import {SoakFaults} from './soak_faults.js';
import {SoakHistory} from './soak_history.js';
import type {SoakShape} from './soak_shape.js';

const WORKER_CPU = 4_000;
/** Time for all processes to become ready; loaded machines take longer. */
const START_TIMEOUT_MS = 60_000;
/** Time after the last fault within which every entry process serves again. */
const RECOVERY_MS = 15_000;
const PROBE_DEADLINE_MS = 1_000;
/** Time for the requests that are open at the end. */
const LAST_ANSWERS_TIMEOUT_MS = 30_000;
/** Faults of a round, and the spread of their starts. */
const MAX_FAULTS = 3;
const MAX_OFFSET_MS = 1_500;
const MAX_GAP_MS = 3_000;

interface RunOptions {
  readonly seed: number;
  readonly rounds: number;
  readonly shape: (typeof SoakShape)[string];
}

/** One soak: starts a deployment, injects faults under load, checks the rules. */
export class SoakRun {
  readonly startedAt: number;
  readonly history: SoakHistory;
  readonly faults: SoakFaults;
  readonly deployment: EmulatedDeployment;
  private readonly clock = new SteadyClock();
  private readonly requests = new OpenRequests({keepsAlive: true});
  private readonly callers: readonly SoakCaller[];
  /** Jobs of callers that are not over. */
  private readonly work = new Set<Promise<void>>();

  constructor(private readonly opts: RunOptions) {
    const {seed, shape} = opts;
    const {clock, requests} = this;
    this.startedAt = clock.now();
    const history = new SoakHistory(this.startedAt);
    this.history = history;
    const deployment = new EmulatedDeployment({
      ...{...shape, clock, workerCpu: WORKER_CPU},
      hasUnguarded: true,
      usesRelays: true,
      keepsLogs: true,
      onStart: run => history.onStart(run),
      onUnexpectedExit: (process, code) => this.onExit(process, code),
    });
    this.deployment = deployment;
    // Faults have their own generator, because the load draws in an order that
    // depends on timing.
    const random = new SeededRandom(seed + 1_000_000);
    this.callers = Array.from({length: shape.zones * shape.callers}, (_, n) => {
      const zone = `z${n % shape.zones}`;
      const {maxTasks} = shape;
      return new SoakCaller({
        ...{clock, deployment, requests, history, random, zone, maxTasks},
      });
    });
    this.faults = new SoakFaults({
      ...{clock, deployment, random: new SeededRandom(seed)},
      burst: jobs => {
        for (let n = 0; n < jobs; n += 1) {
          this.track(this.callers[n % this.callers.length]!.runJob());
        }
      },
    });
  }

  /** Runs all rounds; violations are in the history. */
  async run(): Promise<void> {
    const {deployment, history, faults} = this;
    const random = new SeededRandom(this.opts.seed + 2_000_000);
    try {
      await withTimeout(deployment.start(), START_TIMEOUT_MS);
      for (const caller of this.callers) this.track(caller.run());
      for (let round = 0; round < this.opts.rounds; round += 1) {
        await this.sleep(random.integerBelow(MAX_GAP_MS));
        const count = random.integerBetween(1, MAX_FAULTS);
        for (let n = 0; n < count; n += 1) {
          faults.inject();
          await this.sleep(random.integerBelow(MAX_OFFSET_MS));
        }
      }
      await faults.waitUntilOver();
      for (const caller of this.callers) caller.stop();
      await Promise.all(
        deployment.ofRole('entry').map(entry => this.checkRecovery(entry)),
      );
      await waitUntil(
        'the last answers',
        () => this.work.size === 0,
        LAST_ANSWERS_TIMEOUT_MS,
      );
    } catch (err) {
      history.violations.push(`RUN: ${String(err)}`);
    } finally {
      for (const caller of this.callers) caller.stop();
      await deployment.stop({keepsDir: history.violations.length > 0});
      await this.requests.close();
    }
  }

  /** An entry process serves once it completes a job. */
  private async checkRecovery(entry: EmulatedProcess): Promise<void> {
    const {history, deployment, clock} = this;
    const from = clock.now();
    const step = {tasks: 1, cpu: 1, memoryMb: 1, runMs: 1};
    const zone = deployment.processes.indexOf(entry);
    for (let n = 0; ; n += 1) {
      const id = `${zone.toString(16)}f${n.toString(16)}`.padStart(16, '0');
      const record = history.add(new EmulatedJob(id, [step]));
      const reply = await this.requests.send({
        ...deployment.submission(entry, record.job, {
          deadlineMs: PROBE_DEADLINE_MS,
        }),
        timeoutMs: PROBE_DEADLINE_MS,
      });
      if (reply?.status === 200) return;
      if (clock.now() - from > RECOVERY_MS) break;
      await this.sleep(PROBE_DEADLINE_MS / 5);
    }
    history.violations.push(`RECOVER: ${entry.opts.address} does not serve`);
  }

  private onExit(process: EmulatedProcess, code: string): void {
    const {address, role} = process.opts;
    const detail = `${role} ${address} ended by itself with ${code}`;
    this.history.violations.push(`EXIT: ${detail}`);
    process.start();
  }

  private track(work: Promise<void>): void {
    const done = work.finally(() => this.work.delete(done));
    this.work.add(done);
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.clock.schedule(ms, resolve));
  }
}

async function withTimeout(work: Promise<void>, ms: number): Promise<void> {
  let isDone = false;
  void work.then(() => (isDone = true));
  await waitUntil('the deployment', () => isDone, ms);
}
