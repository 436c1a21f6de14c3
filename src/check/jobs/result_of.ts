/** The result that one task of one body yields, so that mix-ups are seen. */
export function resultOf(key: string, body: string, task: number): string {
  return `${key}/${body}/${task}`;
}
