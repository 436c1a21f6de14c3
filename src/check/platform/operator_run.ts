import {appendFileSync} from 'node:fs';
import {join} from 'node:path';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {SteadyClock} from '../../adapter/steady_clock.js';
import {EmulatedDeployment} from '../../platform/emulator/emulated_deployment.js';
import type {EmulatedProcess} from '../../platform/emulator/emulated_process.js';
import {OpenRequests} from '../processes/open_requests.js';
import {BusyLoops} from './busy_loops.js';
import {ConfigOperator} from './config_operator.js';
import {ConfigStream} from './config_stream.js';
import {DisruptionLog} from './disruption_log.js';
import {OperatorFaults} from './operator_faults.js';
import {OperatorHistory} from './operator_history.js';
import type {OperatorShape} from './operator_shape.js';
import {RouteProber} from './route_prober.js';
import {sendText} from './send_text.js';

/** Bounds of the users' page for adresbirligi-grown, in ms. */
const BOUNDS = {applyMs: 2_500, rollbackMs: 250, skewMs: 6_000};
const CONTACT_MS = 4_000;
const RECOVERY_MS = 15_000;
/** Factor of the rollback bound on a machine that is slowed. */
const SLOWED = 8;
const WORKER_CPU = 4_000;
const START_TIMEOUT_MS = 90_000;
const OPERATORS = 2;
const MAX_GAP_MS = 6_000;
const METRICS_PORT = 9_464;
const LEADER_POLL_MS = 300;
/** Time for one more acknowledgement, at which the final fault happens. */
const FINAL_FAULT_TIMEOUT_MS = 60_000;
/** Up to six armed faults may each have to wait until lost disks are restored. */
const MAX_ARMED_MS = 90_000;

interface RunOptions {
  readonly seed: number;
  readonly rounds: number;
  readonly shape: (typeof OperatorShape)[string];
  readonly program?: string | undefined;
  /** Number of busy loops beside the processes. */
  readonly load: number;
}

/** Publishes configurations under faults and checks that they are in force. */
export class OperatorRun {
  readonly history: OperatorHistory;
  readonly disruptions: DisruptionLog;
  readonly deployment: EmulatedDeployment;
  readonly prober: RouteProber;
  readonly faults: OperatorFaults;
  private readonly clock = new SteadyClock();
  private readonly requests = new OpenRequests({keepsAlive: true});
  private readonly operators: readonly ConfigOperator[];
  private readonly loops = new BusyLoops();
  private leader: string | undefined;
  private isOver = false;

  constructor(private readonly opts: RunOptions) {
    const {seed, shape, program, load} = opts;
    const {clock, requests} = this;
    const log = (text: string) => this.log(text);
    this.disruptions = new DisruptionLog(CONTACT_MS, shape.cores);
    const {disruptions} = this;
    const slack = load > 0 ? SLOWED : 1;
    const bounds = {...BOUNDS, rollbackMs: BOUNDS.rollbackMs * slack};
    this.history = new OperatorHistory(bounds, disruptions, text =>
      this.log(`VIOLATION ${text}`),
    );
    const {history} = this;
    this.deployment = new EmulatedDeployment({
      ...{...shape, clock, program, workerCpu: WORKER_CPU},
      hasUnguarded: true,
      keepsLogs: true,
      onStart: run => this.prober.onStart(run),
      onUnexpectedExit: (process, code) => this.onExit(process, code),
    });
    const {deployment} = this;
    const random = new SeededRandom(seed);
    const stream = new ConfigStream(random);
    history.add(stream.newest, clock.now());
    this.prober = new RouteProber({
      ...{clock, deployment, requests, history},
      random: new SeededRandom(seed + 1_000_000),
    });
    this.faults = new OperatorFaults({
      ...{clock, deployment, disruptions, log},
      ...{lostDisks: shape.lostDisks, usesRelays: shape.usesRelays},
      random: new SeededRandom(seed + 2_000_000),
      leader: () => this.leader,
    });
    this.operators = Array.from({length: OPERATORS}, () => {
      return new ConfigOperator({
        ...{clock, random, stream, history, log},
        controls: () => deployment.controls(),
        onAcknowledged: control => this.faults.onAcknowledged(control),
      });
    });
  }

  async run(): Promise<void> {
    const {deployment, history, faults, operators, prober} = this;
    const random = new SeededRandom(this.opts.seed + 3_000_000);
    try {
      const started = deployment.start();
      let isReady = false;
      void started.then(() => (isReady = true));
      await waitUntil('the deployment', () => isReady, START_TIMEOUT_MS);
      this.loops.start(this.opts.load);
      const work = [
        ...[prober.run(), this.pollLeader()],
        ...operators.map(operator => operator.run()),
      ];
      for (let round = 0; round < this.opts.rounds; round += 1) {
        await this.sleep(random.integerBelow(MAX_GAP_MS));
        await faults.nextRound();
        // Calm times, in which all changes have to be in force.
        if (round % 3 === 2) {
          await this.waitUntilCalm();
          await this.sleep(CONTACT_MS + BOUNDS.applyMs);
        }
      }
      await this.waitUntilCalm();
      faults.disarm();
      faults.armFinal();
      await waitUntil(
        'the final fault',
        () => !faults.isArmed,
        FINAL_FAULT_TIMEOUT_MS,
      );
      for (const operator of operators) operator.stop();
      await faults.waitUntilOver();
      await this.readBack();
      this.isOver = true;
      prober.stop();
      await Promise.all(work);
    } catch (err) {
      history.report(`RUN: ${String(err)}`, this.clock.now());
    } finally {
      this.isOver = true;
      this.loops.stop();
      for (const each of [...operators, prober]) each.stop();
      await deployment.stop({keepsDir: history.violations.length > 0});
      await this.requests.close();
    }
  }

  /**
   * Waits until armed faults were injected and all are over. Armed faults that find no
   * acknowledgement in time, as on a machine that is too slow, stay armed.
   */
  private async waitUntilCalm(): Promise<void> {
    const {faults, clock} = this;
    const limit = clock.now() + MAX_ARMED_MS;
    while (faults.isArmed && clock.now() < limit) {
      await this.sleep(LEADER_POLL_MS);
    }
    await faults.waitUntilOver();
  }

  /** Reads the configuration until every core process has returned it. */
  private async readBack(): Promise<void> {
    const {deployment, history, clock, prober} = this;
    const from = clock.now();
    const open = new Set(deployment.controls());
    while (clock.now() - from < RECOVERY_MS + CONTACT_MS) {
      const floor = history.floorAt(clock.now() - BOUNDS.applyMs);
      for (const control of open) {
        const version = await prober.read(control);
        if (version !== undefined && version >= floor) open.delete(control);
      }
      if (open.size === 0 && clock.now() - from > 3 * CONTACT_MS) return;
      await this.sleep(LEADER_POLL_MS);
    }
    const nodes = [...open].join(', ');
    if (open.size === 0) return;
    history.report(`READ BACK: not by ${nodes}`, clock.now());
  }

  private async pollLeader(): Promise<void> {
    while (!this.isOver) {
      for (const {opts} of this.deployment.ofRole('core')) {
        const url = `http://${opts.address}:${METRICS_PORT}/metrics`;
        const reply = await sendText({method: 'GET', url, timeoutMs: 200});
        if (reply && /^pimentoyoke_is_leading 1/m.test(reply.text)) {
          if (this.leader !== opts.address) this.log(`leader ${opts.address}`);
          this.leader = opts.address;
        }
      }
      await this.sleep(LEADER_POLL_MS);
    }
  }

  private onExit(process: EmulatedProcess, code: string): void {
    const {address} = process.opts;
    this.history.report(`EXIT: ${address} with ${code}`, this.clock.now());
    process.start();
  }

  /** Appends to a log beside those of the processes. */
  private log(text: string): void {
    const at = new Date(this.clock.now()).toISOString();
    appendFileSync(join(this.deployment.dir, 'check.log'), `${at} ${text}\n`);
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.clock.schedule(ms, resolve));
  }
}
