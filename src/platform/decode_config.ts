import {Result} from 'true-myth';
import * as v from 'valibot';
import {RoutingTable} from '../core/routing/routing_table.js';

const positiveNumber = v.pipe(
  v.number(),
  v.finite(),
  v.minValue(Number.MIN_VALUE),
);
const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
const name = v.pipe(v.string(), v.minLength(1));

const ConfigBody = v.object({
  version: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /** Job queues; the platform calls them routes. */
  routes: v.array(
    v.object({
      name: v.string(),
      host: name,
      path_prefix: v.pipe(v.string(), v.startsWith('/')),
      /** Name of the service whose workers run the tasks of the queue. */
      backend: name,
      timeout_ms: positiveNumber,
      /** Added to the run time times `stretch` to give the target time. */
      target_duration_ms: v.optional(nonNegativeNumber, 0),
      priority: v.optional(nonNegativeNumber, 0),
      max_attempts: v.optional(positiveNumber, 1),
      stretch: v.optional(positiveNumber, 1),
      advice: v.optional(v.unknown()),
    }),
  ),
  backends: v.array(
    v.object({
      name,
      /** Whether its workers refuse runs beyond their capacity. */
      enforces_capacity: v.optional(v.boolean(), true),
    }),
  ),
});

/**
 * Decodes an operator's configuration. The error names the first invalid field
 * or route.
 */
export function decodeConfig(body: unknown): Result<RoutingTable, string> {
  const parsed = v.safeParse(ConfigBody, body);
  if (!parsed.success) {
    const [issue] = parsed.issues;
    return Result.err(`${v.getDotPath(issue) ?? 'body'}: ${issue.message}`);
  }
  const {version, routes, backends} = parsed.output;
  const services = new Set(backends.map(b => b.name));
  const seen = new Set<string>();
  for (const route of routes) {
    if (!services.has(route.backend)) {
      return Result.err(`route "${route.name}" names an unknown backend`);
    }
    const prefix = `${route.host}${route.path_prefix}`;
    if (seen.has(prefix)) return Result.err(`two routes match ${prefix}`);
    seen.add(prefix);
  }
  return Result.ok(
    new RoutingTable({
      revision: version,
      queues: routes.map(route => ({
        name: route.name,
        host: route.host,
        prefix: route.path_prefix,
        service: route.backend,
        targetMs: route.target_duration_ms,
        stretch: route.stretch,
        priority: route.priority,
        maxAttempts: route.max_attempts,
        needsAdvice: route.advice !== undefined && route.advice !== null,
      })),
      services: backends.map(b => ({
        name: b.name,
        guardsCapacity: b.enforces_capacity,
      })),
    }),
  );
}
