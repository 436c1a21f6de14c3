import {Result} from 'true-myth';
import * as v from 'valibot';
import type {RoutingTable} from '../core/routing/routing_table.js';
import {decodeConfig} from './decode_config.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const optionalAmount = v.optional(amount);
const optionalText = v.optional(v.string());
const optionalFlag = v.optional(v.boolean());
/** An array passes `v.object` if all fields are optional. */
const noArray = v.check<unknown, string>(
  value => !Array.isArray(value),
  'Expected an object, received an array',
);

/**
 * Fields of a configuration that the dispatcher does not use. Their values are
 * served to readers, so they must be of the documented types as well. Unknown
 * fields are allowed, since later versions may add some.
 */
const UnusedFields = v.object({
  routes: v.array(
    v.object({
      type: optionalText,
      advice: v.nullish(
        v.pipe(
          v.unknown(),
          noArray,
          v.object({
            decision_ms: optionalAmount,
            per_worker_ms: optionalAmount,
            valid_ms: optionalAmount,
          }),
        ),
      ),
    }),
  ),
  backends: v.array(
    v.object({
      health_check_path: optionalText,
      protocol: optionalText,
      max_connections: optionalAmount,
      tls: optionalFlag,
      standby: optionalFlag,
    }),
  ),
  limits: v.pipe(
    v.unknown(),
    noArray,
    v.object({
      max_header_bytes: optionalAmount,
      max_body_bytes: optionalAmount,
      header_timeout_ms: optionalAmount,
      idle_timeout_ms: optionalAmount,
    }),
  ),
});

/**
 * Decodes a configuration that an operator publishes. Stricter than
 * `decodeConfig`, which also reads configurations that were acknowledged by earlier
 * versions and must stay in force. The error names the first invalid field.
 */
export function decodeNewConfig(body: unknown): Result<RoutingTable, string> {
  const table = decodeConfig(body);
  if (table.isErr) return table;
  const parsed = v.safeParse(UnusedFields, body);
  if (!parsed.success) {
    const [issue] = parsed.issues;
    return Result.err(`${v.getDotPath(issue) ?? 'body'}: ${issue.message}`);
  }
  const {services, queues} = table.value.content;
  const name = findRepeated(services.map(s => s.name));
  if (name !== undefined) return Result.err(`two backends are named "${name}"`);
  const place = findRepeated(queues.map(q => q.host.toLowerCase() + q.prefix));
  if (place !== undefined) return Result.err(`two routes match ${place}`);
  return table;
}

function findRepeated(names: readonly string[]): string | undefined {
  const seen = new Set<string>();
  return names.find(name => seen.has(name) || !seen.add(name));
}
