import type {Refusal} from '../job/refusal.js';
import {RunOutcome} from '../job/run_outcome.js';

/** The outcome is unknown because the leader may know the key. */
export const NOT_LEADER: Refusal = {
  code: 'not_leader',
  outcome: RunOutcome.unknown,
  detail: 'this node does not lead the zone',
};
