import {Command, InvalidArgumentError} from 'commander';
import {SteadyClock} from '../../adapter/steady_clock.js';
import {request} from 'undici';
import {EmulatedDeployment} from './emulated_deployment.js';
import {EmulatedJob} from './emulated_job.js';

/** Time after readiness in which all nodes and workers become known. */
const SETTLE_MS = 4_000;
const RUN_MS = 200;

interface Options {
  readonly zones: number;
  readonly cores: number;
  readonly entries: number;
  readonly workers: number;
  readonly jobs: number;
  readonly tasks: number;
  readonly seconds: number;
  readonly profile?: string;
  readonly nodeOptions?: readonly string[];
}

/** Creates the command that measures the processor time of each role. */
export function costCommand(): Command {
  return new Command('cost')
    .description('processor time of real processes by role, idle and per job')
    .option('--zones <n>', 'availability zones', parseCount, 5)
    .option('--cores <n>', 'core processes', parseCount, 5)
    .option('--entries <n>', 'entry processes', parseCount, 15)
    .option('--workers <n>', 'emulated workers', parseCount, 80)
    .option('--jobs <n>', 'jobs per second', parseCount, 100)
    .option('--tasks <n>', 'tasks per job', parseCount, 4)
    .option('--seconds <n>', 'length of each phase', parseCount, 10)
    .option('--profile <dir>', 'write a processor profile of each process')
    .option('--node-options <option...>', 'options of the JavaScript engine')
    .action(async (opts: Options) => {
      const figures = await measure(opts);
      process.stdout.write(`${JSON.stringify({...opts, ...figures})}\n`);
    });
}

async function measure(opts: Options): Promise<object> {
  const clock = new SteadyClock();
  const sleep = (ms: number) =>
    new Promise<void>(resolve => void clock.schedule(ms, resolve));
  const profileDir = opts.profile;
  let starts = 0;
  const onStart = () => void (starts += 1);
  const deployment = new EmulatedDeployment({
    ...{...opts, clock, profileDir, onStart},
  });
  const read = () => ({
    entry: deployment.ofRole('entry').map(each => each.processorSeconds()),
    core: deployment.ofRole('core').map(each => each.processorSeconds()),
  });
  const startedAt = clock.now();
  await deployment.start();
  const readyAfterMs = Math.round(clock.now() - startedAt);
  const atReady = read();
  await sleep(SETTLE_MS);
  const beforeIdle = read();
  await sleep(opts.seconds * 1_000);
  const beforeLoad = read();
  let submitted = 0;
  let completed = 0;
  const replies: Array<Promise<void>> = [];
  const loadStartedAt = clock.now();
  while (clock.now() - loadStartedAt < opts.seconds * 1_000) {
    const due = ((clock.now() - loadStartedAt) / 1_000) * opts.jobs;
    for (; submitted < due; submitted += 1) {
      const reply = submit(deployment, submitted, opts.tasks);
      replies.push(reply.then(ok => void (completed += Number(ok))));
    }
    await sleep(5);
  }
  await Promise.all(replies);
  const end = read();
  await deployment.stop();
  const loadSeconds = opts.seconds;
  return {
    ready_after_ms: readyAfterMs,
    start_s: summarize(atReady),
    settled_s: summarize(beforeIdle),
    idle_cores: summarize(perSecond(beforeIdle, beforeLoad, opts.seconds)),
    load_cores: summarize(perSecond(beforeLoad, end, loadSeconds)),
    submitted,
    completed,
    starts,
    ms_per_job:
      (1_000 * (total(end) - total(beforeLoad))) / Math.max(1, submitted),
  };
}

/** Submits the job `n`; true if it was completed. */
async function submit(
  deployment: EmulatedDeployment,
  n: number,
  tasks: number,
): Promise<boolean> {
  const entries = deployment.ofRole('entry');
  const step = {tasks, cpu: 1_000, memoryMb: 64, runMs: RUN_MS};
  const job = new EmulatedJob((n + 1).toString(16).padStart(16, '0'), [step]);
  const entry = entries[n % entries.length]!;
  const {url, method, headers, body} = deployment.submission(entry, job);
  try {
    const res = await request(url, {
      method,
      headers: {...headers, 'content-type': 'application/json'},
      body: JSON.stringify(body),
    });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}

type Seconds = Readonly<Record<'entry' | 'core', readonly number[]>>;

function perSecond(from: Seconds, to: Seconds, seconds: number): Seconds {
  const rate = (role: 'entry' | 'core') =>
    to[role].map((value, n) => (value - from[role][n]!) / seconds);
  return {entry: rate('entry'), core: rate('core')};
}

function total({entry, core}: Seconds): number {
  return [...entry, ...core].reduce((sum, value) => sum + value, 0);
}

/** Mean and maximum by role. */
function summarize({entry, core}: Seconds): object {
  const of = (values: readonly number[]) => ({
    mean: values.reduce((sum, value) => sum + value, 0) / values.length,
    max: Math.max(...values),
  });
  return {entry: of(entry), core: of(core)};
}

function parseCount(text: string): number {
  const value = Number(text);
  if (Number.isSafeInteger(value) && value > 0) return value;
  throw new InvalidArgumentError('expected a positive integer');
}
