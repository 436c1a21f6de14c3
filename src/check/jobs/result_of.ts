/** Result of a task, unique so that the checkers detect swapped results. */
export function resultOf(key: string, body: string, task: number): string {
  return `${key}/${body}/${task}`;
}
