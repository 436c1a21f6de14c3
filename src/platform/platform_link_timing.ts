import type {LinkTiming} from '../adapter/peer/link_timing.js';

/**
 * Heartbeat intervals of the links between processes. A dead connection must be
 * detected well before callers time out. Most links of a large deployment carry
 * only a presence message every 2.5 s, each with a ping. With a `quietMs` of that
 * or less, each has a second ping just before the next message.
 */
export const PLATFORM_LINK_TIMING: LinkTiming = {
  busyMs: 250,
  idleMs: 400,
  quietMs: 3_000,
};
