import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {ZoneJob} from './zone_job.js';
import type {ZoneWorkload} from './zone_workload.js';

const LONG_FACTOR = 7;
const USUAL_CPU = 8_000;
const LARGE_CPU = 12_000;
/** The page says "some"; a sixth is assumed. */
const LARGE_SHARE = 1 / 6;
/** Share of the jobs with data in a rack; the page gives none. */
const DATA_SHARE = 0.1;
const MS_PER_S = 1_000;

interface DrawOptions {
  readonly toMs: number;
  /** Factor of the load of all zones. */
  readonly load: number;
  /** Factor of the load of zone 0 in the last third of each 6 s. */
  readonly burst: number;
}

const BURST_PERIOD_MS = 6_000;
const BURST_MS = 2_000;

/** Draws the jobs of all zones as Poisson streams, in order of arrival. */
export function drawZoneJobs(
  workload: ZoneWorkload,
  {toMs, load, burst}: DrawOptions,
  random: SeededRandom,
): ZoneJob[] {
  const {zones, kinds, swing, swingPeriodMs, phaseShare} = workload;
  const {workers, rackSize, longShare} = workload;
  const racks = Math.ceil(workers / zones / rackSize);
  const jobs: ZoneJob[] = [];
  for (let zone = 0; zone < zones; zone += 1) {
    for (const {queue, tasks, taskMs, rate} of kinds) {
      // Thinning of a stream at the highest rate gives one with a rate in time.
      const factor = zone === 0 ? burst : 1;
      const maxRate = (load * rate * factor * (1 + swing)) / zones;
      let atMs = 0;
      for (;;) {
        atMs += random.exponential(MS_PER_S / maxRate);
        if (atMs >= toMs) break;
        const turns = atMs / swingPeriodMs + zone * phaseShare;
        const now = 1 + swing * Math.sin(2 * Math.PI * turns);
        const isInBurst = atMs % BURST_PERIOD_MS >= BURST_PERIOD_MS - BURST_MS;
        const share = isInBurst ? now : now / factor;
        if (random.next() * (1 + swing) > share) continue;
        const hasData = random.next() < DATA_SHARE;
        const rack = random.integerBelow(racks);
        jobs.push({
          id: `${queue}${zone}-${jobs.length}`,
          zone,
          atMs,
          queue,
          taskMs,
          runMs: Array.from({length: tasks}, () =>
            random.next() < longShare ? LONG_FACTOR * taskMs : taskMs,
          ),
          cpu: random.next() < LARGE_SHARE ? LARGE_CPU : USUAL_CPU,
          dataRack: hasData ? `rack${zone}-${rack}` : undefined,
        });
      }
    }
  }
  return jobs.sort((a, b) => a.atMs - b.atMs);
}
