import * as v from 'valibot';
import {ConfigChange} from '../state/config_change.js';
import {PublishedDocument} from '../published_document.js';
import {Membership} from './membership.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of one entry of the log. */
export const LogEntry = v.object({
  index: count,
  term: count,
  body: v.variant('kind', [
    /** First entry of each term; commits what earlier terms left. */
    v.object({kind: v.literal('term')}),
    v.object({kind: v.literal('change'), change: ConfigChange}),
    v.object({kind: v.literal('publish'), document: PublishedDocument}),
    v.object({kind: v.literal('members'), members: Membership}),
  ]),
});

/** One entry of the log. */
export type LogEntry = Readonly<v.InferOutput<typeof LogEntry>>;
