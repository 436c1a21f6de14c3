import type {FleetFault} from './fleet_fault.js';

const HEALTHY: FleetFault = {
  name: 'healthy',
  share: 0,
  slowdown: 1,
  failureRate: 0,
  byRack: false,
  longShare: 0,
  hangShare: 0,
};
const LONG_SHARE = 1 / 30;

/** Faults under which placement is measured. */
export const FLEET_FAULTS: readonly FleetFault[] = [
  HEALTHY,
  {...HEALTHY, name: 'slow', share: 0.16, slowdown: 5},
  {...HEALTHY, name: 'long', longShare: LONG_SHARE},
  {
    ...HEALTHY,
    name: 'slow+long',
    share: 0.16,
    slowdown: 5,
    longShare: LONG_SHARE,
  },
  {...HEALTHY, name: 'failing', share: 0.16, failureRate: 0.5},
  {...HEALTHY, name: 'slow racks', share: 0.5, slowdown: 2.5, byRack: true},
  {...HEALTHY, name: 'hanging', hangShare: 0.001},
];
