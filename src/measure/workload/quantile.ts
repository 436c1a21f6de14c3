/** The value that the share `q` of the sorted values does not exceed. */
export function quantile(sorted: ArrayLike<number>, q: number): number {
  const at = Math.ceil(q * sorted.length) - 1;
  return sorted[Math.max(0, at)] ?? NaN;
}
