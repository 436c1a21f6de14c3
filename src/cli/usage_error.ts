import {CommanderError} from 'commander';
import {ExitCode} from './exit_code.js';

/** A wrong command line that commander itself does not notice. */
export class UsageError extends CommanderError {
  constructor(message: string) {
    super(ExitCode.usage, 'pimentoyoke.usage', message);
  }
}
