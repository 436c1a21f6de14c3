import {isDeepStrictEqual} from 'node:util';
import type {Config} from '../../core/config/config.js';
import type {ConfigDifference} from './config_difference.js';

const SECTIONS = ['classes', 'tenants'] as const;

/** Lists the entries that differ between two configurations. */
export function diffConfigs(before: Config, after: Config): ConfigDifference[] {
  const differences: ConfigDifference[] = [];
  for (const section of SECTIONS) {
    const names = new Set([
      ...Object.keys(before[section]),
      ...Object.keys(after[section]),
    ]);
    for (const name of [...names].sort()) {
      const [old, current] = [before[section][name], after[section][name]];
      if (isDeepStrictEqual(old, current)) continue;
      differences.push({
        path: `${section}/${name}`,
        before: old,
        after: current,
      });
    }
  }
  return differences;
}
