import * as v from 'valibot';
import {RunEnd} from '../run_end.js';
import {RunRefusal} from '../run_refusal.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const refused = v.object({
  kind: v.literal('refused'),
  reason: v.picklist(Object.values(RunRefusal)),
});
const lost = v.object({kind: v.literal('lost'), detail: v.string()});

/** Validators of the replies of workers that an entry node relays. */
export const RelayReply = {
  /** Reply to a start or a stop. */
  order: v.variant('kind', [
    v.object({kind: v.literal('ok'), clockMs: v.number()}),
    refused,
    lost,
  ]),
  /** Reply to a poll. */
  look: v.variant('kind', [
    v.object({
      kind: v.literal('ok'),
      look: v.object({
        clockMs: v.number(),
        bornAt: v.optional(v.number()),
        running: v.array(v.object({task: v.string(), run: count})),
        ended: v.array(
          v.object({
            number: count,
            task: v.string(),
            run: count,
            how: v.picklist(Object.values(RunEnd)),
          }),
        ),
        isPartial: v.boolean(),
      }),
    }),
    refused,
    lost,
  ]),
};
