import {sleep} from './sleep.js';
import {smallConfiguration} from './small_configuration.js';

const ZONES = ['arbat', 'panfilov', 'medeu'];
const WORKERS = 6;
/** Time in which everything settles after the start. */
const CALM_MS = 3_500;

/**
 * Starts workers of about 32 cores, six by default, publishes the first
 * configuration, and waits until the deployment is calm. Returns the workers.
 */
export async function startFleet(
  bench,
  {route, count = WORKERS, ...options} = {},
) {
  const workers = [];
  for (let n = 0; n < count; n += 1) {
    const id = `i-7f3a91${String(n).padStart(2, '0')}`;
    const life = {id, labels: ['a', 'r1-1'], cpu: 32_000};
    const zone = ZONES[n % ZONES.length];
    workers.push(await bench.addWorker({zone, life, ...options}));
  }
  await bench.deployment.publish(smallConfiguration(1, bench, route));
  await bench.deployment.waitUntilReady();
  await sleep(CALM_MS);
  return workers;
}
