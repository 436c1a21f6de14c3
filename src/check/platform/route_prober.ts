import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {Clock} from '../../core/clock/clock.js';
import type {EmulatedDeployment} from '../../platform/emulator/emulated_deployment.js';
import {EmulatedJob} from '../../platform/emulator/emulated_job.js';
import type {EmulatedProcess} from '../../platform/emulator/emulated_process.js';
import type {EmulatedRun} from '../../platform/emulator/emulated_run.js';
import type {OpenRequests} from '../processes/open_requests.js';
import {OperatorConfig} from './operator_config.js';
import type {OperatorHistory} from './operator_history.js';
import {sendText} from './send_text.js';

const PROBE_INTERVAL_MS = 40;
const READ_INTERVAL_MS = 150;
const TIMEOUT_MS = 1_500;
/** Newest changes whose routes are probed. */
const RECENT = 6;
const JOB_SHARE = 0.25;
const JOB_STEP = {tasks: 1, cpu: 1, memoryMb: 1, runMs: 5};

interface ProberOptions {
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly deployment: EmulatedDeployment;
  readonly requests: OpenRequests;
  readonly history: OperatorHistory;
}

interface Probe {
  readonly entry: EmulatedProcess;
  readonly incarnation: number;
  readonly route: string;
  readonly sentAt: number;
}

/** Asks entry processes about routes, and core processes for the configuration. */
export class RouteProber {
  private isStopped = false;
  private jobCount = 0;
  /** Probes by the id of their job. */
  private readonly jobs = new Map<string, Probe>();
  readonly statuses = new Map<number | string, number>();

  constructor(private readonly opts: ProberOptions) {}

  async run(): Promise<void> {
    const {deployment} = this.opts;
    await Promise.all([
      ...deployment.ofRole('entry').map(async entry => {
        while (!this.isStopped) {
          await this.probe(entry);
          await this.sleep(PROBE_INTERVAL_MS);
        }
      }),
      ...deployment.controls().map(async (_, n) => {
        while (!this.isStopped) {
          await this.read(deployment.controls()[n]!);
          await this.sleep(READ_INTERVAL_MS);
        }
      }),
    ]);
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Reads the configuration from a node; its version, if there was one. */
  async read(control: string): Promise<number | undefined> {
    const {history, clock} = this.opts;
    const sentAt = clock.now();
    const reply = await sendText({
      ...{method: 'GET', url: `http://${control}/Config.Get`},
      timeoutMs: TIMEOUT_MS,
    });
    if (reply?.status !== 200) return undefined;
    const body = JSON.parse(reply.text) as {version?: number};
    history.checkRead(control, body, sentAt);
    return body.version;
  }

  /** Called with each run that a worker starts. */
  onStart(run: EmulatedRun): void {
    const probe = this.jobs.get(EmulatedJob.idOf(run.task));
    if (!probe) return;
    const isGuarded = run.worker.opts.guardsCapacity;
    this.record(probe, isGuarded ? 'guarded' : 'unguarded');
  }

  private async probe(entry: EmulatedProcess): Promise<void> {
    const {clock, random, deployment, requests} = this.opts;
    const route = this.pickRoute();
    const {incarnation} = entry;
    const probe = {entry, incarnation, route, sentAt: clock.now()};
    const isJob = random.next() < JOB_SHARE;
    const id = this.nextId();
    if (isJob) this.jobs.set(id, probe);
    const path = isJob ? `${route}${id}` : route;
    const reply = await requests.attempt({
      node: entry.opts.address,
      method: isJob ? 'POST' : 'GET',
      url: deployment.routeUrl(entry, path),
      headers: {
        host: OperatorConfig.HOST,
        'x-deadline-ms': String(TIMEOUT_MS),
      },
      ...(isJob ? {body: new EmulatedJob(id, [JOB_STEP]).toBody()} : {}),
      timeoutMs: TIMEOUT_MS,
    });
    const outcome = reply.isOk ? reply.value.status : reply.error;
    this.statuses.set(outcome, (this.statuses.get(outcome) ?? 0) + 1);
    if (outcome === 404) this.record(probe, 'absent');
    if (outcome === 200 && !isJob) this.record(probe, 'present');
  }

  private record(
    {entry, incarnation, route, sentAt}: Probe,
    seen: 'absent' | 'present' | 'guarded' | 'unguarded',
  ): void {
    const {address} = entry.opts;
    const endedAt = this.opts.clock.now();
    this.opts.history.observe({
      ...{entry: address, incarnation, route, seen, sentAt, endedAt},
    });
  }

  /** A route that was just added, removed or moved, or one that never existed. */
  private pickRoute(): string {
    const {random, history} = this.opts;
    const recent = history.sent.slice(-RECENT);
    const pick = <T>(values: readonly T[]) =>
      values[random.integerBelow(values.length)];
    const from = pick(recent)!.config.routes;
    const to = pick(recent)!.config.routes;
    const changed = [...from.keys()].filter(
      route => to.get(route) !== from.get(route),
    );
    if (random.next() < 0.05) return `/never${random.integerBelow(100)}/`;
    return pick(changed) ?? pick([...from.keys()])!;
  }

  private nextId(): string {
    this.jobCount += 1;
    return this.jobCount.toString(16).padStart(16, '0');
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.opts.clock.schedule(ms, resolve));
  }
}
