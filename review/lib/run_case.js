import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Deployment} from './deployment.js';
import {Recorder} from './recorder.js';
import {StandInWorker} from './stand_in_worker.js';

const EXIT = {held: 0, broken: 1, couldNotRun: 2};
const TIME_LIMIT_MS = 110_000;
const SERVICE = 'dele69a';
const HOST = 'nony24.example';
const PREFIX = '/lohu930/';

/**
 * Runs a case: starts a deployment, calls `play`, which returns the violations,
 * and ends all processes. `script` is the URL of the case, whose folder gets the
 * record. The exit code tells whether the rule held.
 */
export async function runCase(script, play) {
  const folder = dirname(fileURLToPath(script));
  const recorder = new Recorder(join(folder, 'record.txt'));
  const deployment = new Deployment(recorder);
  const workers = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = EXIT.couldNotRun;
  const giveUp = () => {
    deployment.isStopping = true;
    for (const {child} of deployment.nodes) child?.kill('SIGKILL');
    process.exit(EXIT.couldNotRun);
  };
  process.on('SIGTERM', giveUp).on('SIGINT', giveUp);
  const limit = globalThis.setTimeout(() => {
    recorder.write('time_limit');
    giveUp();
  }, TIME_LIMIT_MS);
  try {
    recorder.write('case', {trouble: hasTrouble});
    await deployment.start();
    const bench = {
      ...{recorder, deployment, workers, hasTrouble},
      ...{service: SERVICE, host: HOST, prefix: PREFIX},
      addWorker: options => addWorker(bench, options),
    };
    const violations = await play(bench);
    for (const each of violations) recorder.write('BROKEN', {detail: each});
    code = violations.length > 0 ? EXIT.broken : EXIT.held;
  } catch (err) {
    recorder.write('failed', {detail: err.stack});
  }
  try {
    for (const worker of workers) await worker.crash();
    await deployment.stop();
  } catch (err) {
    recorder.write('failed', {detail: err.stack});
    code = EXIT.couldNotRun;
  }
  globalThis.clearTimeout(limit);
  recorder.write('exit', {code});
  recorder.close();
  process.exit(code);
}

/** Adds a worker whose starts and ends are recorded. */
async function addWorker(bench, {life, zone, firstHeartbeatMs, onStart}) {
  const {deployment, workers, recorder, service} = bench;
  const name = run => {
    const {life: each, address} = run.worker;
    return {task: run.task, run: run.run, worker: each.id, address};
  };
  const worker = new StandInWorker({
    host: deployment.ip(3, workers.length + 1),
    port: deployment.ports.control,
    control: deployment.control,
    ...{service, zone, firstHeartbeatMs},
    onStart: run => {
      recorder.write('run_started', name(run));
      onStart?.(run);
    },
    onEnd: (run, how) => recorder.write('run_ended', {...name(run), how}),
  });
  workers.push(worker);
  await worker.boot(life);
  return worker;
}
