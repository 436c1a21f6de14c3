import type {Config} from '../config.js';
import type {ConfigUpdate} from './config_update.js';

/**
 * Returns the configuration after an update; undefined if the update is a diff
 * from a version later than `config`.
 */
export function applyUpdate(
  config: Config,
  update: ConfigUpdate,
): Config | undefined {
  const {version} = update;
  if (update.kind === 'whole') {
    const {classes, tenants, document, evacuated} = update;
    return {
      version,
      classes,
      tenants,
      ...(document ? {document} : {}),
      ...(evacuated ? {evacuated} : {}),
    };
  }
  if (config.version < update.base) return undefined;
  const document = update.document ?? config.document;
  const evacuated = update.evacuated ?? config.evacuated;
  return {
    version,
    ...(document ? {document} : {}),
    ...(evacuated ? {evacuated} : {}),
    classes: merge(config.classes, update.diff.classes),
    tenants: merge(config.tenants, update.diff.tenants),
  };
}

function merge<T>(
  items: Readonly<Record<string, T>>,
  changed: Readonly<Record<string, T | null>>,
): Record<string, T> {
  const merged: Record<string, T> = {...items};
  for (const [name, item] of Object.entries(changed)) {
    if (item === null) delete merged[name];
    else merged[name] = item;
  }
  return merged;
}
