import type {RelayOrder} from './relay_order.js';

/** Round trip time to the relay, added to the timeout of each order. */
const HOP_MS = 40;

/** Timing of relayed orders, in ms. */
export const RelayTiming = {
  HOP_MS,

  /**
   * Time for which the sender of an order stands by it: until its timeout, or for a
   * poll as long before that as the worker may wait for an end.
   */
  validMs(order: Pick<RelayOrder, 'timeoutMs' | 'order'>): number {
    return order.timeoutMs + HOP_MS - waitMsOf(order);
  },
} as const;

function waitMsOf({order}: Pick<RelayOrder, 'order'>): number {
  return 'waitMs' in order ? order.waitMs : 0;
}
