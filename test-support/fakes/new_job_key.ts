import {v7 as uuidv7} from 'uuid';
import {JobKey} from '../../src/core/job/job_key.js';

/** Creates a job key for a zone with the given time, in epoch ms. */
export function newJobKey(zone: string, now: number): JobKey {
  const text = `${zone}~${uuidv7({msecs: Math.floor(now)})}`;
  return JobKey.parse(text).unwrapOrElse(err => {
    throw new Error(err);
  });
}
