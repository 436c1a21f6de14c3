import {Pool} from 'undici';

/**
 * Keeps a fixed number of jobs open at a daemon; arguments are the callers'
 * address, the open jobs, the tasks of each job, the run time of the tasks and
 * the time to go on, both in ms. Prints one JSON object at the end.
 */
const [address, open, tasks, taskMs, forMs] = process.argv.slice(2);

const pool = new Pool(address!, {connections: Number(open)});
const body = JSON.stringify({
  class: 'default',
  tasks: Array.from({length: Number(tasks)}, () => ({
    payload: {ms: Number(taskMs)},
  })),
});
const end = Date.now() + Number(forMs);
const counts = {complete: 0, refused: 0, other: 0};

async function loop(): Promise<void> {
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

await Promise.all(Array.from({length: Number(open)}, loop));
process.stdout.write(`${JSON.stringify(counts)}\n`);
await pool.destroy();
