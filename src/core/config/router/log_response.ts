import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import {ConfigDiff} from '../state/config_diff.js';
import {PublishedDocument} from '../published_document.js';
import {TenantConfig} from '../tenant_config.js';
import {ZoneNames} from '../zone_names.js';
import {LogStatus} from './log_status.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of `LogResponse`. */
export const LogResponse = v.variant('kind', [
  /** The node is no leader that accepts requests; the request had no effect. */
  v.object({kind: v.literal('not_leader'), leader: v.optional(v.string())}),
  /** The node lost leadership before the entry was committed. */
  v.object({kind: v.literal('unknown')}),
  v.object({kind: v.literal('accepted'), version: count}),
  v.object({kind: v.literal('members_done')}),
  v.object({
    kind: v.literal('refused'),
    refusal: v.object({
      code: v.picklist(['invalid', 'conflict', 'key_reused', 'unavailable']),
      outcome: v.picklist(['not_made', 'outcome_unknown']),
      detail: v.string(),
      version: v.optional(count),
      diff: v.optional(ConfigDiff),
      retryAfterMs: v.optional(count),
    }),
  }),
  v.object({
    kind: v.literal('config'),
    config: v.object({
      version: count,
      classes: v.record(v.string(), ClassConfig),
      tenants: v.record(v.string(), TenantConfig),
      document: v.optional(PublishedDocument),
      evacuated: v.optional(ZoneNames),
    }),
    /** Number of the last evacuation order. */
    lastOrder: v.optional(count, 0),
  }),
  v.object({kind: v.literal('status'), status: LogStatus}),
]);

/** A node's response to a request for the leader. */
export type LogResponse = Readonly<v.InferOutput<typeof LogResponse>>;
