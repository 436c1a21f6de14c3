import * as v from 'valibot';
import type {WorkerReport} from '../core/pool/worker_report.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

const WireReport = v.object({
  /** Name of the service, not an upstream of its own. */
  backend: v.string(),
  address: v.pipe(v.string(), v.regex(/^[0-9.]+:\d+$/)),
  zone: v.string(),
  state: v.picklist(['ready', 'draining']),
  /** Thousandths of a core, under `cpu`. */
  capacity: v.object({cpu: amount, mem_mb: amount, gpu: amount}),
  labels: v.optional(v.array(v.string()), []),
  seq: v.pipe(v.number(), v.safeInteger()),
  born: v.optional(v.pipe(v.number(), v.safeInteger()), 0),
});

/** Decodes a worker's heartbeat; undefined if another writer sent it. */
export function decodeHeartbeat(
  id: string,
  body: unknown,
): WorkerReport | undefined {
  const parsed = v.safeParse(WireReport, body);
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
