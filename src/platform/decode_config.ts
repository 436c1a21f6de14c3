import {Result} from 'true-myth';
import * as v from 'valibot';
import {RoutingTable} from '../core/routing/routing_table.js';

const positive = v.pipe(v.number(), v.finite(), v.minValue(Number.MIN_VALUE));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const name = v.pipe(v.string(), v.minLength(1));

const WireConfig = v.object({
  version: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /** Queues of jobs, although the name speaks of routes. */
  routes: v.array(
    v.object({
      name: v.string(),
      host: name,
      path_prefix: v.pipe(v.string(), v.startsWith('/')),
      /** Name of the service whose workers run the tasks. */
      backend: name,
      timeout_ms: positive,
      /** Added to the stretched run time; not the target by itself. */
      target_duration_ms: v.optional(amount, 0),
      priority: v.optional(amount, 0),
      max_attempts: v.optional(positive, 1),
      stretch: v.optional(positive, 1),
      advice: v.optional(v.unknown()),
    }),
  ),
  backends: v.array(
    v.object({
      name,
      enforces_capacity: v.optional(v.boolean(), true),
    }),
  ),
});

/** Decodes an operator's configuration; the error says what is invalid. */
export function decodeConfig(body: unknown): Result<RoutingTable, string> {
  const parsed = v.safeParse(WireConfig, body);
  if (!parsed.success) {
    const [issue] = parsed.issues;
    return Result.err(`${v.getDotPath(issue) ?? 'body'}: ${issue.message}`);
  }
  const {version, routes, backends} = parsed.output;
  const services = new Set(backends.map(b => b.name));
  const places = new Set<string>();
  for (const route of routes) {
    if (!services.has(route.backend)) {
      return Result.err(`route "${route.name}" names an unknown service`);
    }
    const place = `${route.host}${route.path_prefix}`;
    if (places.has(place)) return Result.err(`two routes share ${place}`);
    places.add(place);
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
