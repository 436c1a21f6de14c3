import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import type {ZoneCore} from './zone_core.js';

/** What the leader knows of one zone when it decides on grants. */
export interface ZoneView {
  readonly zone: string;
  /** Number of workers that report from the zone. */
  readonly workers: number;
  /** When the leader last heard any node of the zone. */
  readonly heardAt: number;
  /** Core nodes of the zone except the leader. */
  readonly cores: readonly ZoneCore[];
  /** Last claim of a holder of the zone that was not withdrawn. */
  readonly claim: DispatcherClaim | undefined;
}
