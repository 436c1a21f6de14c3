interface Worker {
  readonly id: string;
  readonly address: string;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hash of a set of workers that does not depend on their order. */
export function fingerprintWorkers(workers: Iterable<Worker>): number {
  let sum = 0;
  for (const {id, address} of workers) sum += hash(`${id} ${address}`);
  return sum % Number.MAX_SAFE_INTEGER;
}

/** 32-bit FNV-1a. */
function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let at = 0; at < text.length; at += 1) {
    value = Math.imul(value ^ text.charCodeAt(at), FNV_PRIME);
  }
  return value >>> 0;
}
