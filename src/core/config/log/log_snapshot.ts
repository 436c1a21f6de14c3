import * as v from 'valibot';
import {ConfigSnapshot} from '../state/config_snapshot.js';
import {Membership} from './membership.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of a snapshot, which stands for all entries up to its index. */
export const LogSnapshot = v.object({
  index: count,
  term: count,
  members: Membership,
  state: ConfigSnapshot,
});

/** The state after all entries up to an index. */
export type LogSnapshot = Readonly<v.InferOutput<typeof LogSnapshot>>;
