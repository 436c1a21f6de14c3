import type {Deployment} from './deployment.js';

/** Deployments for which the figures are measured. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'zhakupov',
    zones: 3,
    workers: 33,
    slots: 8,
    rackSize: 8,
    zoneDelayMs: 0.5,
    callerDelayMs: 1,
  },
  {
    name: 'bariloche',
    zones: 4,
    workers: 32,
    slots: 8,
    rackSize: 6,
    zoneDelayMs: 1.4,
    callerDelayMs: 3,
  },
];
