import type {RoutingTable} from './routing_table.js';

/**
 * Whether the configuration names a service. Before the first configuration, any
 * service may be named by it.
 */
export function isServiceKnown(
  table: RoutingTable | undefined,
  service: string,
): boolean {
  return table?.hasService(service) ?? true;
}
