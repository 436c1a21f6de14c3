import {randomBytes} from 'node:crypto';
import {sendRequest} from './send_request.js';

/** A new job id: 16 hexadecimal digits. */
export function newJobId() {
  return randomBytes(8).toString('hex');
}

/**
 * Submits a best-effort job of one step at an entry node and resolves with its
 * answer. `spec` is what the stand-in workers read; see StandInWorker.
 */
export async function submitJob(bench, entry, job) {
  const {deployment, recorder, host, prefix} = bench;
  const {id, ms, cpu, deadlineMs, step = {}, agent} = job;
  recorder.write('job_sent', {id, entry: entry.ip});
  const res = await sendRequest(deployment.callersUrl(entry, prefix + id), {
    method: 'POST',
    agent,
    headers: {host, 'x-deadline-ms': String(deadlineMs)},
    json: {
      spec: JSON.stringify({ms, cpu}),
      best_effort: true,
      steps: [{count: 1, cpu, mem_mb: 64, estimated_ms: ms, ...step}],
    },
  });
  recorder.write('job_answered', {
    id,
    entry: entry.ip,
    answer: res.status ?? res.error,
    state: res.body?.state ?? res.body?.detail,
  });
  return res;
}
