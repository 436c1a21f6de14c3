#!/usr/bin/env node
import {Argument, Command, InvalidArgumentError, Option} from 'commander';
import {BadWorkerMeasurement} from './badworker/bad_worker_measurement.js';
import {CancelMeasurement} from './cancel/cancel_measurement.js';
import {FloodMeasurement} from './flood/flood_measurement.js';
import type {Measurement} from './measurement.js';
import {ResponseMeasurement} from './response/response_measurement.js';
import {SlopesMeasurement} from './slopes/slopes_measurement.js';
import {ThroughputMeasurement} from './throughput/throughput_measurement.js';
import {DEPLOYMENTS} from './workload/deployments.js';

/** A new measurement is added here. */
const MEASUREMENTS: readonly Measurement[] = [
  new ResponseMeasurement(),
  new FloodMeasurement(),
  new CancelMeasurement(),
  new BadWorkerMeasurement(),
  new ThroughputMeasurement(),
  new SlopesMeasurement(),
];

interface Options {
  readonly seed: number;
  readonly seeds: number;
  readonly deployment?: string;
}

function positive(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value > 0) return value;
  throw new InvalidArgumentError('expected a positive integer');
}

const program = new Command('measure')
  .description(MEASUREMENTS.map(m => `${m.name}: ${m.description}`).join('\n'))
  .addArgument(
    new Argument('<name>', 'measurement').choices(
      MEASUREMENTS.map(m => m.name),
    ),
  )
  .option('--seed <n>', 'first seed', positive, 1)
  .option('--seeds <n>', 'seeds of each figure', positive, 5)
  .addOption(
    new Option('--deployment <name>', 'default: all').choices(
      DEPLOYMENTS.map(({name}) => name),
    ),
  )
  .parse();

const {seed, seeds, deployment} = program.opts<Options>();
const measurement = MEASUREMENTS.find(m => m.name === program.args[0])!;
const deployments = DEPLOYMENTS.filter(
  ({name}) => deployment === undefined || name === deployment,
);
const figures = await measurement.run({seed, seeds, deployments});
process.stdout.write(
  `${JSON.stringify({measurement: measurement.name, seed, seeds, ...figures})}\n`,
);
process.exit(0);
