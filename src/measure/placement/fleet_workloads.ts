import type {FleetWorkload} from './fleet_workload.js';

/** The two workloads of section 0 of docs/design/zones.md. */
export const FLEET_WORKLOADS: readonly FleetWorkload[] = [
  {
    name: 'equal',
    remoteFactor: 3,
    rackSize: 8,
    speeds: [1],
    kinds: [
      {tasks: 8, runMs: 60, rate: 144},
      {tasks: 4, runMs: 900, rate: 26},
      {tasks: 2, runMs: 200, rate: 420},
    ],
    swing: 0.15,
  },
  {
    name: 'mixed',
    remoteFactor: 2,
    rackSize: 20,
    speeds: [0.6, 1, 1.6],
    kinds: [
      {tasks: 8, runMs: 51, rate: 144},
      {tasks: 4, runMs: 760, rate: 26},
      {tasks: 2, runMs: 170, rate: 420},
    ],
    swing: 0.55,
  },
];
