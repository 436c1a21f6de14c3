import * as v from 'valibot';
import {MembershipRequest} from '../log/membership_request.js';
import {PublishedDocument} from '../published_document.js';
import {ConfigChange} from '../state/config_change.js';
import {EvacuationOrder} from '../state/evacuation_order.js';

/** Validator of `LogRequest`. */
export const LogRequest = v.variant('kind', [
  v.object({kind: v.literal('change'), change: ConfigChange}),
  v.object({kind: v.literal('publish'), document: PublishedDocument}),
  v.object({kind: v.literal('evacuation'), order: EvacuationOrder}),
  v.object({kind: v.literal('members'), request: MembershipRequest}),
  v.object({kind: v.literal('read')}),
  v.object({kind: v.literal('status')}),
]);

/** A request to the log's leader. */
export type LogRequest = Readonly<v.InferOutput<typeof LogRequest>>;
