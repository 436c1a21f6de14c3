import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {Settings} from './settings.js';

/** Reads and checks a settings file; errors name the file, key and value. */
export function loadSettings(file: string): Result<Settings, string[]> {
  let toml: unknown;
  try {
    toml = parse(readFileSync(file, 'utf8'));
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    return Result.err([`${file}: ${detail}`]);
  }
  const parsed = v.safeParse(Settings, toml);
  if (!parsed.success) {
    return Result.err(
      parsed.issues.map(issue => {
        const key = v.getDotPath(issue) ?? '(top level)';
        return `${file}: ${key}: ${issue.message}; got ${issue.received}`;
      }),
    );
  }
  const settings = parsed.output;
  const ids = settings.nodes.map(node => node.id);
  if (!ids.includes(settings.node)) {
    return Result.err([`${file}: node: "${settings.node}" is not among nodes`]);
  }
  if (new Set(ids).size < ids.length) {
    return Result.err([`${file}: nodes: two nodes have the same id`]);
  }
  return Result.ok(settings);
}
