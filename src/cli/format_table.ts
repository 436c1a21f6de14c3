/** Formats rows as a text table with aligned columns and a header. */
export function formatTable(
  columns: readonly string[],
  rows: ReadonlyArray<Readonly<Record<string, unknown>>>,
): string {
  const lines = [
    columns,
    ...rows.map(row => columns.map(column => formatCell(row[column]))),
  ];
  const widths = columns.map((_, at) =>
    Math.max(...lines.map(line => line[at]!.length)),
  );
  return lines
    .map(line => line.map((cell, at) => cell.padEnd(widths[at]!)).join('  '))
    .map(line => `${line.trimEnd()}\n`)
    .join('');
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (Array.isArray(value)) return value.join(',') || '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
