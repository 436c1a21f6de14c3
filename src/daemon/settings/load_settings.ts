import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {checkCrossFieldRules} from './check_cross_field_rules.js';
import {Settings} from './settings.js';
import {formatSettingsError} from './format_settings_error.js';

/**
 * Reads and checks a settings file. Each line of an error has the file, the key,
 * the value and the expected form.
 */
export function loadSettings(file: string): Result<Settings, string[]> {
  let toml: unknown;
  try {
    toml = parse(readFileSync(file, 'utf8'));
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    return Result.err([`${file}: ${detail.trim()}`]);
  }
  const parsed = v.safeParse(Settings, toml);
  const errors = parsed.success
    ? checkCrossFieldRules(parsed.output)
    : parsed.issues.map(formatSettingsError);
  if (errors.length > 0 || !parsed.success) {
    return Result.err(errors.map(line => `${file}: ${line}`));
  }
  return Result.ok(parsed.output);
}
