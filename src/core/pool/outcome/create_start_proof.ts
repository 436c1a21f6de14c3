import type {PoolDispatcherOptions} from '../dispatcher/pool_dispatcher_options.js';
import {StartProof} from './start_proof.js';

/** Creates the proof of a dispatcher that starts at this time. */
export function createStartProof(
  opts: PoolDispatcherOptions,
  startedAt: number,
): StartProof {
  const {earlierLeasesMs, leaseMs, isRegistryComplete} = opts;
  const {registry, predecessor, observer, token} = opts;
  return new StartProof({
    startedAt,
    // The last lease of the predecessor began with its last order.
    lastOrderAt: startedAt + earlierLeasesMs - leaseMs,
    workers: registry.reports,
    recordCompleteUntil:
      isRegistryComplete && predecessor
        ? predecessor.recordCompleteUntil
        : Number.NEGATIVE_INFINITY,
    onDecided: (reason, isProved) =>
      observer.recordStateChange('start_proof', {
        token,
        proved: isProved,
        reason,
      }),
  });
}
