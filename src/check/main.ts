#!/usr/bin/env node
import {Command} from 'commander';
import {configCheck} from './config/config_check.js';
import {jobsCommand} from './jobs/jobs_command.js';
import {processesCommand} from './processes/processes_command.js';

await new Command('check')
  .description('Checks of invariants over generated histories.')
  .addCommand(jobsCommand)
  .addCommand(configCheck())
  .addCommand(processesCommand)
  .parseAsync();
