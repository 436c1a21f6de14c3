/**
 * Share of a max-min fair allocation: each demand up to it is met in full and
 * each larger demand gets exactly this share. Infinity if the capacity suffices
 * for all demands.
 */
export function maxMinFairShare(
  demands: readonly number[],
  capacity: number,
): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let remaining = capacity;
  for (const [at, demand] of sorted.entries()) {
    const equal = remaining / (sorted.length - at);
    if (demand > equal) return Math.max(0, equal);
    remaining -= demand;
  }
  return Infinity;
}
