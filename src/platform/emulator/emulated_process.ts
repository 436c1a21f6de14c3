import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  existsSync,
  mkdirSync,
  openSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {fileURLToPath} from 'node:url';
import type {Clock} from '../../core/clock/clock.js';

const MAIN = fileURLToPath(
  new URL('../../../../target/pimentoyoke.cjs', import.meta.url),
);
/** Time from SIGTERM to SIGKILL, as in the settings, in ms. */
const GRACE_MS = 6_000;

/** Ways in which a process is disturbed from outside. */
type Disturbance = 'kill' | 'stop' | 'suspend';

interface ProcessOptions {
  readonly clock: Clock;
  readonly role: 'core' | 'entry';
  readonly address: string;
  readonly zone: string;
  readonly settingsFile: string;
  /** Settings without `bootstrap` and `seeds`. */
  readonly settings: readonly string[];
  readonly seeds: readonly string[];
  readonly dataDir: string;
  /** Bundle to run; by default the one that `npm run build:deploy` writes. */
  readonly program?: string | undefined;
  /** Whether the process joins a deployment that runs already. */
  readonly isSpare?: boolean;
  /** File that output is appended to; without it, only errors are shown. */
  readonly logFile?: string | undefined;
  /** Options of the JavaScript engine. */
  readonly nodeOptions: readonly string[];
  /** Called when the process ends by itself. */
  readonly onUnexpectedExit: (process: EmulatedProcess, code: string) => void;
}

/** A core or entry process that is disturbed by signals and started again. */
export class EmulatedProcess {
  private child: ChildProcess | undefined;
  private isFirstStart: boolean;
  private stopSentAt = 0;
  private starts = 0;
  private seeds: readonly string[];
  /** Last disturbances, with the time at which they ended. */
  private readonly disturbedUntil = new Map<Disturbance, number>();

  constructor(readonly opts: ProcessOptions) {
    this.isFirstStart = !opts.isSpare;
    this.seeds = opts.seeds;
  }

  /** Number of starts, which distinguishes process instances. */
  get incarnation(): number {
    return this.starts;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Process id; undefined while the process is not running. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** When the last disturbance of these kinds ended; Infinity if it lasts. */
  lastDisturbance(...kinds: readonly Disturbance[]): number {
    const times = kinds.map(kind => this.disturbedUntil.get(kind) ?? 0);
    return Math.max(0, ...times);
  }

  /** When the process got its last SIGTERM. */
  get stoppedAt(): number {
    return this.stopSentAt;
  }

  start(): void {
    const {settingsFile, logFile, nodeOptions, role} = this.opts;
    const {program = MAIN} = this.opts;
    if (!existsSync(program)) {
      throw new Error('run `npm run build:deploy` first');
    }
    this.starts += 1;
    this.writeSettings();
    this.isFirstStart = false;
    const log = logFile === undefined ? undefined : openSync(logFile, 'a');
    const child = spawn(process.execPath, [...nodeOptions, program, role], {
      env: {...process.env, PIMENTOYOKE_SETTINGS: settingsFile},
      stdio: ['ignore', log ?? 'ignore', log ?? 'inherit'],
    });
    if (log !== undefined) closeSync(log);
    this.child = child;
    child.once('exit', (code, signal) => {
      if (this.child !== child) return;
      this.child = undefined;
      this.opts.onUnexpectedExit(this, String(code ?? signal));
    });
  }

  /** Kills the process without notice. */
  async kill(): Promise<void> {
    await this.end('kill', child => child.kill('SIGKILL'));
  }

  /** Stops the process as the platform does; resolves to its exit code. */
  async stop(): Promise<number | null> {
    this.stopSentAt = this.opts.clock.now();
    return this.end('stop', async (child, exited) => {
      child.kill('SIGTERM');
      const timer = this.opts.clock.schedule(GRACE_MS, () => {
        child.kill('SIGKILL');
      });
      await exited;
      timer.cancel();
    });
  }

  /** Suspends the process. */
  async suspend(ms: number): Promise<void> {
    const {child} = this;
    const {clock} = this.opts;
    if (!child) return;
    this.disturbedUntil.set('suspend', Number.POSITIVE_INFINITY);
    child.kill('SIGSTOP');
    await new Promise<void>(resolve => void clock.schedule(ms, resolve));
    child.kill('SIGCONT');
    this.disturbedUntil.set('suspend', clock.now());
  }

  /** Replaces the contents of the data folder by nothing. */
  wipe(): void {
    rmSync(this.opts.dataDir, {recursive: true, force: true});
    mkdirSync(this.opts.dataDir);
  }

  /** Changes the seeds in the settings file, without a signal. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.writeSettings();
  }

  signal(signal: 'SIGHUP'): void {
    this.child?.kill(signal);
  }

  /** Processor time since its start, in seconds. */
  processorSeconds(): number {
    const pid = this.child!.pid!;
    let nanoseconds = 0;
    for (const thread of readdirSync(`/proc/${pid}/task`)) {
      const path = `/proc/${pid}/task/${thread}/schedstat`;
      nanoseconds += Number(readFileSync(path, 'utf8').split(' ')[0]);
    }
    return nanoseconds / 1e9;
  }

  private writeSettings(): void {
    const {settings, settingsFile} = this.opts;
    const lines = [
      ...settings,
      `seeds=${this.seeds.join(',')}`,
      `bootstrap=${this.isFirstStart}`,
    ];
    writeFileSync(settingsFile, lines.join('\n'));
  }

  private async end(
    kind: 'kill' | 'stop',
    act: (child: ChildProcess, exited: Promise<unknown>) => unknown,
  ): Promise<number | null> {
    const {child} = this;
    if (!child) return null;
    this.child = undefined;
    this.disturbedUntil.set(kind, Number.POSITIVE_INFINITY);
    const exited = once(child, 'exit');
    await act(child, exited);
    await exited;
    this.disturbedUntil.set(kind, this.opts.clock.now());
    return child.exitCode;
  }
}
