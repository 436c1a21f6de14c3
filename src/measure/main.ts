#!/usr/bin/env node
import {Command} from 'commander';
import {controlMeasure} from './control/control_measure.js';

await new Command('measure')
  .description('Measures parts of the system; the last line is JSON.')
  .addCommand(controlMeasure())
  .parseAsync();
