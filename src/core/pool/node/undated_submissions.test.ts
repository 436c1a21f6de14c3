import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const JOB = {estimatedMs: 2_500, patienceMs: 5_000, tasks: 8};
/** Time after which callers send a job again whose answer they did not receive. */
const RESEND_MS = 1_300;
const LATE_LINK_MS = 1_050;

// Guards against two runs at once of a job that its home zone moves again: the repeated
// referral names no claim, so the contact counted from the reading of the submission,
// though the caller had gone before.
test('a copy does not start beside a run of a job that was moved again', async () => {
  const bench = new DeploymentBench();
  bench.runMs = JOB.estimatedMs;
  await bench.run(8_000);
  const {id, zone} = await moveJob(bench);
  bench.disconnectCaller(id);
  await bench.run(RESEND_MS);
  delayFrom(bench, 'ye', zone);
  bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
  bench.submit('ye1', id, JOB);
  await bench.run(30);
  bench.disconnectCaller(id);
  await bench.run(RESEND_MS);
  bench.submit(zone === 'x' ? 'ze1' : 'xe1', id, JOB);
  await bench.run(4_000);
  assert.isEmpty(bench.log.overlaps());
});

/** Makes ye1 submit so many jobs that some are moved; returns one of them. */
async function moveJob(bench: DeploymentBench) {
  const ids = Array.from({length: 38}, (_, n) => `job${n}`);
  for (const id of ids) bench.submit('ye1', id, JOB);
  await bench.run(40);
  const move = bench.log.events.find(e => e.event === 'job_redirected');
  assert.isDefined(move);
  const {job, to_zone: zone} = move!.fields;
  for (const id of ids) if (id !== job) bench.disconnectCaller(id);
  await bench.run(400);
  return {id: String(job), zone: String(zone)};
}

/** Makes all messages from some nodes to the core nodes of a zone late. */
function delayFrom(bench: DeploymentBench, prefix: string, zone: string) {
  const {delayMs} = bench.network;
  bench.network.delayMs = (from, to) => {
    const isLate = from.startsWith(prefix) && to.startsWith(`${zone}c`);
    return delayMs(from, to) + (isLate ? LATE_LINK_MS : 0);
  };
}
