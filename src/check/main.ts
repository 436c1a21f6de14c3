#!/usr/bin/env node
import {Command} from 'commander';
import {configCheck} from './config/config_check.js';

await new Command('check')
  .description('Checks generated histories against the guarantees.')
  .addCommand(configCheck())
  .parseAsync();
