import * as v from 'valibot';
import {ConfigChange} from '../state/config_change.js';
import {EvacuationOrder} from '../state/evacuation_order.js';
import {PublishedDocument} from '../published_document.js';
import {Membership} from './membership.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of `LogEntry`. */
export const LogEntry = v.object({
  index: count,
  term: count,
  body: v.variant('kind', [
    /** No-op, the first entry of each term; commits earlier terms' entries. */
    v.object({kind: v.literal('term')}),
    v.object({kind: v.literal('change'), change: ConfigChange}),
    v.object({kind: v.literal('publish'), document: PublishedDocument}),
    v.object({kind: v.literal('evacuation'), order: EvacuationOrder}),
    v.object({kind: v.literal('members'), members: Membership}),
  ]),
});

/** An entry of the configuration log. */
export type LogEntry = Readonly<v.InferOutput<typeof LogEntry>>;
