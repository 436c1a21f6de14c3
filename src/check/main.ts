#!/usr/bin/env node
import {Command} from 'commander';
import {createConfigCommand} from './config/create_config_command.js';
import {jobsCommand} from './jobs/jobs_command.js';
import {platformCommand} from './platform/platform_command.js';
import {poolCommand} from './pool/pool_command.js';
import {processesCommand} from './processes/processes_command.js';

await new Command('check')
  .description('Checks of invariants over generated histories.')
  .addCommand(jobsCommand)
  .addCommand(createConfigCommand())
  .addCommand(poolCommand)
  .addCommand(processesCommand)
  .addCommand(platformCommand)
  .parseAsync();
