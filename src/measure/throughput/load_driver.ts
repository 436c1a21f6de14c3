import {Pool} from 'undici';

/**
 * Keeps a fixed number of jobs in flight at a daemon. Arguments: URL of the
 * caller API, number of jobs in flight, tasks per job, run time of a task in ms
 * and duration of the load in ms. Prints one JSON object at the end.
 */
const [address, concurrency, tasks, taskMs, durationMs] = process.argv.slice(2);

const pool = new Pool(address!, {connections: Number(concurrency)});
const body = JSON.stringify({
  class: 'default',
  tasks: Array.from({length: Number(tasks)}, () => ({
    payload: {ms: Number(taskMs)},
  })),
});
const end = Date.now() + Number(durationMs);
const counts = {complete: 0, refused: 0, other: 0};

async function submitUntilEnd(): Promise<void> {
  while (Date.now() < end) {
    const res = await pool.request({
      path: '/v1/jobs',
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body,
    });
    const answer = (await res.body.json()) as {status?: unknown};
    if (answer.status === 'complete') counts.complete += 1;
    else if (res.statusCode === 429) counts.refused += 1;
    else counts.other += 1;
  }
}

await Promise.all(Array.from({length: Number(concurrency)}, submitUntilEnd));
process.stdout.write(`${JSON.stringify(counts)}\n`);
await pool.destroy();
