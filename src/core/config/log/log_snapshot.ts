import * as v from 'valibot';
import {ConfigSnapshot} from '../state/config_snapshot.js';
import {Membership} from './membership.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of `LogSnapshot`. */
export const LogSnapshot = v.object({
  index: count,
  term: count,
  members: Membership,
  state: ConfigSnapshot,
});

/** State and members after applying all entries up to `index`. */
export type LogSnapshot = Readonly<v.InferOutput<typeof LogSnapshot>>;
