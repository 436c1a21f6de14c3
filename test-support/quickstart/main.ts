import {LocalCluster} from '../cluster/local_cluster.js';
import {waitUntil} from '../cluster/wait_until.js';

const TASK_COUNT = 20;
const TASK_MS = 100;
const LONG_TASK_MS = 5_000;

const cluster = await LocalCluster.create([
  {id: 'a1', zone: 'arbat', voter: true},
  {id: 'a2', zone: 'arbat', voter: true},
  {id: 'p1', zone: 'panfilov', voter: true},
]);

/** Runs the command-line tool against node a2 and prints its output. */
async function pimentoyoke(...args: string[]): Promise<string> {
  console.log(`\n$ pimentoyoke ${args.join(' ')}`);
  const {code, out, err} = await cluster.cli('a2', ...args);
  process.stdout.write(out + err);
  if (code !== 0) throw new Error(`command failed with exit code ${code}`);
  return out;
}

/** Asks both nodes of arbat, as only the zone's leader has its histograms. */
async function showHistograms(): Promise<void> {
  for (const id of ['a1', 'a2']) {
    const {out} = await cluster.cli(id, 'histograms', '--json');
    const {histograms} = JSON.parse(out) as {histograms: object[]};
    if (histograms.length > 0) console.table(histograms);
  }
}

try {
  await cluster.startAll();
  cluster.startUpstream('w1', 'arbat');
  cluster.startUpstream('w2', 'panfilov');
  console.log('Three daemons in two zones are ready.');

  const tasks = Array.from({length: TASK_COUNT}, (_, value) =>
    JSON.stringify({ms: TASK_MS, value}),
  );
  const submit = ['submit', '--class', 'default'];
  await pimentoyoke(...submit, '--task', ...tasks);

  const key = (await pimentoyoke('key', 'new')).trim();
  const long = JSON.stringify({ms: LONG_TASK_MS});
  await pimentoyoke(...submit, '--key', key, '--no-wait', '--task', long);
  await waitUntil('the long task to start', () =>
    cluster.starts.some(start => start.key === key),
  );
  await pimentoyoke('cancel', key);

  console.log('\nResponse and queue times in ms:');
  await showHistograms();
} catch (err) {
  console.error(err);
  process.exitCode = 1;
} finally {
  await cluster.stopAll();
}
