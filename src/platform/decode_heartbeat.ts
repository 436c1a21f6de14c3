import * as v from 'valibot';
import type {WorkerReport} from '../core/pool/registry/worker_report.js';
import {isWorkerAddress} from './is_worker_address.js';

const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));

/**
 * All fields that workers send, also those that are not used: a heartbeat without one
 * of them is of another writer, and must not displace a worker.
 */
const HeartbeatBody = v.object({
  /** Name of the service that the worker belongs to. */
  backend: v.string(),
  address: v.pipe(v.string(), v.check(isWorkerAddress)),
  zone: v.string(),
  /** Version of the worker's software. */
  version: v.string(),
  slots: nonNegativeNumber,
  /** How much longer the worker is slow after its start. */
  cold_remaining_ms: nonNegativeNumber,
  state: v.picklist(['ready', 'draining']),
  /** `cpu` is in thousandths of a core; `gpu` is a number of accelerators. */
  capacity: v.object({
    cpu: nonNegativeNumber,
    mem_mb: nonNegativeNumber,
    gpu: nonNegativeNumber,
  }),
  labels: v.optional(v.array(v.string()), []),
  /** Number of the heartbeat, which grows until the worker restarts. */
  seq: v.pipe(v.number(), v.safeInteger()),
  /** Start time of the worker process, in epoch ms; 0 if not reported. */
  born: v.optional(v.pipe(v.number(), v.safeInteger()), 0),
});

/** Decodes a worker's heartbeat; undefined if it is malformed. */
export function decodeHeartbeat(
  id: string,
  body: unknown,
): WorkerReport | undefined {
  const parsed = v.safeParse(HeartbeatBody, body);
  if (!parsed.success) return undefined;
  const {backend, address, zone, state, capacity, labels, seq, born} =
    parsed.output;
  return {
    id,
    bornAt: born,
    service: backend,
    address,
    zone,
    isDraining: state === 'draining',
    capacity: {
      cpu: capacity.cpu,
      memoryMb: capacity.mem_mb,
      accelerators: capacity.gpu,
    },
    labels,
    sequence: seq,
  };
}
