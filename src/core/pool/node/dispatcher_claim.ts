import type {Room} from '../lending/room.js';
import type {ZoneGrant} from '../zones/zone_grant.js';

/** A node's claim to dispatch, as received in its presence message. */
export interface DispatcherClaim {
  readonly node: string;
  /** Term of the log; a fallback uses the last term it knows. */
  readonly term: number;
  /** Fencing token of the node's orders. */
  readonly token: number;
  /** Whether the node serves only its zone, while there is no leader. */
  readonly isFallback: boolean;
  /** Zone of a holder; undefined for the leader and for an older fallback. */
  readonly zone?: string | undefined;
  /**
   * Token under which the dispatcher began, if that is not the first one of the
   * term. Tells a new dispatcher of the leader from one that raised its token.
   */
  readonly firstToken?: number | undefined;
  /**
   * The only zone on whose workers this dispatcher of the leader starts runs, also
   * after the claim was stated, if it is one.
   */
  readonly soleZone?: string | undefined;
  /** Zones that the leader has granted. Default: none. */
  readonly grants?: readonly ZoneGrant[] | undefined;
  /** Zones that the leader neither dispatches nor grants. Default: none. */
  readonly unserved?: readonly string[] | undefined;
  /** What a holder offers to each of the others; told to core nodes only. */
  readonly room?: Room | undefined;
  /**
   * Whether the leader lacks a majority's recent confirmation, so that another one
   * may lead. Default: false.
   */
  readonly isUnconfirmed?: boolean | undefined;
  /** Address to which workers send their reports. */
  readonly reportAddress?: string | undefined;
  /** Revision of the queue configuration in force at the node. */
  readonly revision: number;
  /** Version of the configuration in force at the node. Default 0. */
  readonly version?: number | undefined;
  /**
   * When the node stated the claim, on the clock of its process; entry nodes send
   * it back, see readContactTime. Older nodes omit it.
   */
  readonly statedAt?: number | undefined;
  /** When the claim was last received. */
  readonly heardAt: number;
}
