/** Returns the nearest-rank quantile of sorted values, with `q` in 0 to 1. */
export function quantile(sorted: ArrayLike<number>, q: number): number {
  const at = Math.ceil(q * sorted.length) - 1;
  return sorted[Math.max(0, at)] ?? NaN;
}
