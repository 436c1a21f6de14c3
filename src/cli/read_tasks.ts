import {UsageError} from './usage_error.js';

type Table = Record<string, unknown>;

/**
 * The body of a submission from JSON text: either its tasks or the whole body
 * as the API takes it.
 */
export function readTasks(text: string, source: string): Table {
  const value = parse(text, source);
  if (Array.isArray(value)) return {tasks: value};
  if (typeof value === 'object' && value !== null) return value as Table;
  throw new UsageError(
    `${source}: expected an array of tasks or an object with "tasks"`,
  );
}

function parse(text: string, source: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    throw new UsageError(`${source}: ${(err as Error).message}`);
  }
}
