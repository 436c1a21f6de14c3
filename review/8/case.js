/**
 * A core process that does not lead freezes for some seconds. Orders to the
 * machines of its zone that were on their way through it are carried out when it
 * wakes. Some of these machines have crashed meanwhile and are back under their id.
 */
import {runCase} from '../lib-2/run_case.js';
import {Deployment, newId, sleep, waitFor} from '../lib-2/deployment.js';

const PER_ZONE = 24;
/** Tasks that last for some seconds. */
const TASK = {cpu: 4_000, ms: 7_000};
const FREEZE_MS = 4_000;
const CRASH_AFTER_MS = 1_500;
const DOWN_MS = 1_000;
const CRASH_SHARE = 0.13;

await runCase(
  new URL('.', import.meta.url),
  async ({events, hasTrouble, open}) => {
    const zones = ['z1', 'z2', 'z3'];
    const deployment = new Deployment({zones, entriesPerZone: 1, events});
    open.push(deployment);
    await deployment.choosePorts();
    await deployment.startWorkers(PER_ZONE);
    await deployment.startNodes();
    if (!(await deployment.publish(deployment.config(1))))
      throw new Error('no config');
    if (!(await waitFor(() => deployment.areReady(), 20_000)))
      throw new Error('not ready');
    await sleep(8_000);

    const leader = await deployment.findLeader();
    const frozen = deployment.cores.find(core => core !== leader);
    const entry = deployment.entries.find(({zone}) => zone !== frozen.zone);
    if (!leader || !entry) throw new Error('no leader');
    // An ordinary job first.
    const first = await deployment.submit(entry, newId(), [
      {count: 72, cpu: 4_000, ms: 200},
    ]);
    if (first.status !== 200)
      throw new Error('the first job was not completed');

    if (hasTrouble) deployment.signal(frozen, 'SIGSTOP');
    const jobs = Array.from({length: 3}, () =>
      deployment.submit(entry, newId(), [{count: 3 * PER_ZONE, ...TASK}], {
        deadlineMs: 30_000,
      }),
    );
    await sleep(CRASH_AFTER_MS);
    const victims = deployment.workers
      .filter(({opts}) => opts.zone === frozen.zone)
      .slice(0, Math.floor(CRASH_SHARE * deployment.workers.length));
    if (hasTrouble) for (const worker of victims) worker.crash();
    await sleep(DOWN_MS);
    if (hasTrouble) for (const worker of victims) await worker.start();
    await sleep(FREEZE_MS - CRASH_AFTER_MS - DOWN_MS);
    if (hasTrouble) deployment.signal(frozen, 'SIGCONT');
    const answers = await Promise.all(jobs);
    await sleep(1_000);
    if (!hasTrouble && answers.some(({status}) => status !== 200)) {
      throw new Error('a job was not completed');
    }
    return events
      .overlaps()
      .map(
        ({a, b, from, to}) =>
          `TWICE: ${a.task} ran as run ${a.run} on ${a.worker} and as run ${b.run} on ` +
          `${b.worker} at once, from ${from.toFixed(0)} to ${to.toFixed(0)} ms`,
      );
  },
);
