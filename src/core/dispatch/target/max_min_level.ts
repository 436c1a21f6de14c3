/**
 * The level of a max-min fair division: every demand below it is met in full
 * and the others get the level each. Infinity if all demands fit.
 */
export function maxMinLevel(
  demands: readonly number[],
  capacity: number,
): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let rest = capacity;
  for (const [at, demand] of sorted.entries()) {
    const equal = rest / (sorted.length - at);
    if (demand > equal) return Math.max(0, equal);
    rest -= demand;
  }
  return Infinity;
}
