import * as v from 'valibot';
import {ZoneGrant} from '../zones/zone_grant.js';

/** Validator of a referral. */
export const JobReferral = v.object({
  ...ZoneGrant.entries,
  /**
   * When the other dispatcher stated the claim that the sender knows, on that
   * dispatcher's clock. Absent if a referral is repeated, as it is old then.
   */
  statedAt: v.optional(v.number()),
});

/** The dispatcher of another zone to which an entry node has to submit a job. */
export type JobReferral = Readonly<v.InferOutput<typeof JobReferral>>;
