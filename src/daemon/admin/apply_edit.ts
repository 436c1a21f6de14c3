import type {Config} from '../../core/config/config.js';
import type {ConfigEdit} from './config_edit.js';

/**
 * Returns the configuration after an edit, with the next version number;
 * undefined if the edit deletes an entry that does not exist.
 */
export function applyEdit(
  config: Config,
  edit: ConfigEdit,
): Config | undefined {
  const version = config.version + 1;
  switch (edit.kind) {
    case 'set_class': {
      const classes = {...config.classes, [edit.value.name]: edit.value};
      return {...config, version, classes};
    }
    case 'set_tenant': {
      const tenants = {...config.tenants, [edit.value.name]: edit.value};
      return {...config, version, tenants};
    }
    case 'delete_class': {
      const classes = without(config.classes, edit.name);
      return classes && {...config, version, classes};
    }
    case 'delete_tenant': {
      const tenants = without(config.tenants, edit.name);
      return tenants && {...config, version, tenants};
    }
  }
}

function without<T>(
  entries: Readonly<Record<string, T>>,
  name: string,
): Record<string, T> | undefined {
  if (!Object.hasOwn(entries, name)) return undefined;
  const rest = {...entries};
  delete rest[name];
  return rest;
}
