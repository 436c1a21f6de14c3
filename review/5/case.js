import {runCase} from '../lib/run_case.js';
import {sendRequest} from '../lib/send_request.js';
import {sleep} from '../lib/sleep.js';
import {startFleet} from '../lib/start_fleet.js';
import {newJobId, submitJob} from '../lib/submit_job.js';

const HEARTBEAT_MS = 1_500;
const PLAY_MS = 45_000;
const DEADLINE_MS = 1_500;
/** Own ends of the processes of a core machine that count. */
const MAX_OWN_ENDS = 3;

await runCase(import.meta.url, async bench => {
  const {deployment, recorder, hasTrouble} = bench;
  await startFleet(bench);
  const entries = deployment.ofRole('entry');
  let isOver = false;
  const open = [];
  const serve = async () => {
    for (let n = 0; !isOver; n += 1) {
      const job = {id: newJobId(), ms: 100, cpu: 14_000};
      const entry = entries[n % entries.length];
      open.push(submitJob(bench, entry, {...job, deadlineMs: DEADLINE_MS}));
      await sleep(100);
    }
  };

  /** Heartbeats of another writer, which moves on after a failure as workers do. */
  const sendForeign = async () => {
    const bornAt = Date.now();
    let target = 0;
    for (let seq = 1; !isOver; seq += 1) {
      const address = deployment.control[target % deployment.control.length];
      const url = `http://${address}/Instances.Heartbeat/w-00417`;
      const res = await sendRequest(url, {
        method: 'POST',
        timeoutMs: 1_000,
        json: {
          backend: 'another-service',
          address: '127.0.0.1:99999',
          zone: 'arbat',
          version: 'v1',
          slots: 8,
          state: 'ready',
          cold_remaining_ms: 0,
          capacity: {cpu: 16_000, mem_mb: 32_768, gpu: 0},
          labels: ['a', 'r1-3'],
          clock_ms: Date.now() - bornAt,
          seq,
          born: bornAt,
        },
      });
      recorder.write('foreign_heartbeat', {to: address, answer: res.status ?? res.error});
      if (res.status !== 200) target += 1;
      await sleep(HEARTBEAT_MS);
    }
  };

  const flows = [serve(), ...(hasTrouble ? [sendForeign()] : [])];
  await sleep(PLAY_MS);
  isOver = true;
  await Promise.all([...flows, ...open]);
  const cores = deployment.ofRole('core');
  for (const {ip, ownEnds} of cores) recorder.write('own_ends', {ip, ownEnds});
  const hit = cores.filter(({ownEnds}) => ownEnds >= MAX_OWN_ENDS);
  if (hit.length < cores.length / 2) return [];
  return [`the processes of ${hit.length} of ${cores.length} core machines ended by themselves ${MAX_OWN_ENDS} times or more`];
});
