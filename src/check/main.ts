import {Command} from 'commander';
import {jobsCommand} from './jobs/jobs_command.js';

await new Command('check')
  .description('Checks of invariants over generated histories.')
  .addCommand(jobsCommand)
  .parseAsync();
