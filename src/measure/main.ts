#!/usr/bin/env node
import {Command, InvalidArgumentError, Option} from 'commander';
import {BadWorkerMeasurement} from './badworker/bad_worker_measurement.js';
import {CancelMeasurement} from './cancel/cancel_measurement.js';
import {controlCommand} from './control/control_command.js';
import {costCommand} from '../platform/emulator/cost_command.js';
import {FloodMeasurement} from './flood/flood_measurement.js';
import type {Measurement} from './measurement.js';
import {OverflowMeasurement} from './overflow/overflow_measurement.js';
import {PlacementMeasurement} from './placement/placement_measurement.js';
import {ResponseMeasurement} from './response/response_measurement.js';
import {SlopesMeasurement} from './slopes/slopes_measurement.js';
import {ThroughputMeasurement} from './throughput/throughput_measurement.js';
import {ZonesMeasurement} from './zones/zones_measurement.js';
import {DEPLOYMENTS} from './workload/deployments.js';

/** Measurements with common options; `control` has options of its own. */
const MEASUREMENTS: readonly Measurement[] = [
  new ResponseMeasurement(),
  new FloodMeasurement(),
  new OverflowMeasurement(),
  new CancelMeasurement(),
  new BadWorkerMeasurement(),
  new ThroughputMeasurement(),
  new SlopesMeasurement(),
  new PlacementMeasurement(),
  new ZonesMeasurement(),
];

interface Options {
  readonly seed: number;
  readonly seeds: number;
  readonly deployment?: string;
}

function parsePositiveInteger(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value > 0) return value;
  throw new InvalidArgumentError('expected a positive integer');
}

function commandOf(measurement: Measurement): Command {
  const {name, description} = measurement;
  return new Command(name)
    .description(description)
    .option('--seed <n>', 'first seed', parsePositiveInteger, 1)
    .option(
      '--seeds <n>',
      'number of seeds per figure',
      parsePositiveInteger,
      5,
    )
    .addOption(
      new Option('--deployment <name>', 'default: all').choices(
        DEPLOYMENTS.map(one => one.name),
      ),
    )
    .action(async ({seed, seeds, deployment}: Options) => {
      const deployments = DEPLOYMENTS.filter(
        one => deployment === undefined || one.name === deployment,
      );
      const figures = await measurement.run({seed, seeds, deployments});
      const report = {measurement: name, seed, seeds, ...figures};
      process.stdout.write(`${JSON.stringify(report)}\n`);
    });
}

const program = new Command('measure').description(
  'Runs a measurement and prints its report as JSON on the last line.',
);
for (const measurement of MEASUREMENTS) {
  program.addCommand(commandOf(measurement));
}
program.addCommand(costCommand());
await program.addCommand(controlCommand()).parseAsync();
process.exit(0);
