import type {PoolObserver} from '../../../src/core/pool/pool_observer.js';

/** Observer that ignores all events. */
export const SILENT_OBSERVER: PoolObserver = {
  recordJobEvent: () => undefined,
  recordStateChange: () => undefined,
  recordResponseTime: () => undefined,
  incrementCounter: () => undefined,
};
