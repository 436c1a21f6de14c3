import type {ZoneWorkload} from './zone_workload.js';

/** The two workloads of section 0 of docs/design/zones.md. */
export const ZONE_WORKLOADS: readonly ZoneWorkload[] = [
  {
    name: 'first',
    zones: 3,
    workers: 245,
    rackSize: 8,
    remoteFactor: 3,
    speeds: [1],
    zoneDelayMs: 0.5,
    swing: 0.15,
    swingPeriodMs: 13_000,
    phaseShare: 1 / 3,
    longShare: 0,
    kinds: [
      {queue: 'a', tasks: 8, taskMs: 60, rate: 144},
      {queue: 'b', tasks: 4, taskMs: 900, rate: 26},
      {queue: 'c', tasks: 2, taskMs: 200, rate: 420},
    ],
  },
  {
    name: 'second',
    zones: 4,
    workers: 245,
    rackSize: 20,
    remoteFactor: 2,
    speeds: [0.6, 1, 1.6],
    zoneDelayMs: 1.4,
    swing: 0.55,
    swingPeriodMs: 13_000,
    phaseShare: 0.03,
    longShare: 1 / 30,
    kinds: [
      {queue: 'a', tasks: 8, taskMs: 51, rate: 144},
      {queue: 'b', tasks: 4, taskMs: 760, rate: 26},
      {queue: 'c', tasks: 2, taskMs: 170, rate: 420},
    ],
  },
];
