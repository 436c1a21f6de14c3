import {LOG_TIMING} from '../../src/platform/log_timing.js';
import {ConfigBench} from './config_bench.js';

/** Intervals of the configuration's ticks in core and entry processes. */
const CORE_TICK_MS = 20;
const ENTRY_TICK_MS = 200;
/** Interval of presence messages between core processes. */
const PRESENCE_MS = 1_000;
const ZONES = ['a', 'b', 'c'];

interface PlatformConfigBenchOptions {
  readonly seed: number;
  /** Entry nodes: f1, f2, ... */
  readonly followers: number;
}

/**
 * The replicated configuration as six core nodes in three zones run it, two of
 * which may be lost with their disks, and entry nodes without disks. v1 to v3
 * are the seeds; the number in a node's name decides its zone.
 */
export function createPlatformConfigBench(
  opts: PlatformConfigBenchOptions,
): ConfigBench {
  const started = new Set<string>();
  return new ConfigBench({
    ...opts,
    // Only the first process on each of the first machines may form the log.
    mayForm: node => {
      const isFirst = !started.has(node) && /^[vs][1-3]$/.test(node);
      started.add(node);
      return isFirst;
    },
    voters: 3,
    spares: 3,
    voterTarget: 5,
    zoneOf: node => ZONES[Number(node.slice(1)) % ZONES.length],
    timing: LOG_TIMING,
    presenceMs: PRESENCE_MS,
    tickMs: node => (node.startsWith('f') ? ENTRY_TICK_MS : CORE_TICK_MS),
  });
}
