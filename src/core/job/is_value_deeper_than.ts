/**
 * Whether a JSON value is nested deeper than `max` levels. Traverses the value
 * level by level, because recursion into a deep value would exhaust the stack.
 */
export function isValueDeeperThan(value: unknown, max: number): boolean {
  let level = containersOf([value]);
  for (let depth = 0; depth < max; depth += 1) {
    if (level.length === 0) return false;
    level = level.flatMap(each => containersOf(Object.values(each)));
  }
  return level.length > 0;
}

function containersOf(values: readonly unknown[]): object[] {
  return values.filter(
    (each): each is object => typeof each === 'object' && each !== null,
  );
}
