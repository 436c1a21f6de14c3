import {UsageError} from './usage_error.js';

type JsonObject = Record<string, unknown>;

/**
 * Parses the body of a submission from JSON: an array of tasks or a request
 * body of the caller API.
 */
export function parseSubmission(text: string, source: string): JsonObject {
  const value = parse(text, source);
  if (Array.isArray(value)) return {tasks: value};
  if (typeof value === 'object' && value !== null) return value as JsonObject;
  throw new UsageError(
    `${source}: expected a JSON array of tasks or an object with "tasks"`,
  );
}

function parse(text: string, source: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    throw new UsageError(`${source}: invalid JSON: ${(err as Error).message}`);
  }
}
