import {CommanderError} from 'commander';
import {ExitCode} from './exit_code.js';

/** Usage error that commander does not detect itself. */
export class UsageError extends CommanderError {
  constructor(message: string) {
    super(ExitCode.usage, 'pimentoyoke.usage', message);
  }
}
