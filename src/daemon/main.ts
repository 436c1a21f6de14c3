#!/usr/bin/env node
import {Command} from 'commander';
import {SystemClock} from '../adapter/system_clock.js';
import {Daemon} from './daemon.js';
import {createLog} from './log/create_log.js';
import {loadSettings} from './settings/load_settings.js';

/** As in sysexits.h: EX_SOFTWARE and EX_CONFIG. */
const EXIT_INTERNAL = 70;
const EXIT_SETTINGS = 78;

const program = new Command('pimentoyoked')
  .description('Runs one node of a pimentoyoke deployment.')
  .requiredOption('-c, --config <file>', 'settings file (TOML)')
  .parse();

const settings = loadSettings(program.opts<{config: string}>().config);
if (settings.isErr) {
  for (const line of settings.error) process.stderr.write(`${line}\n`);
  process.exit(EXIT_SETTINGS);
}

const {node, nodes, log_level: level} = settings.value;
const {zone} = nodes.find(each => each.id === node)!;
const log = createLog({node, zone, level});
const daemon = new Daemon(settings.value, new SystemClock(), log);

const started = daemon.start();

let isStopping = false;
/** Stops the daemon and the process; further signals are ignored meanwhile. */
async function stop(): Promise<void> {
  if (isStopping) return;
  isStopping = true;
  // A failed start is logged below.
  await started.catch(() => undefined);
  await daemon.stop();
  process.exit(0);
}

// The daemon keeps running if the reader of its log goes away.
process.stderr.on('error', () => undefined);
process.on('SIGTERM', () => void stop());
process.on('SIGINT', () => void stop());
daemon.events.on('drain', () => void stop());
// An unexpected exception may leave inconsistent state, so the process exits.
process.on('uncaughtException', err => {
  log.fatal('uncaught exception', {detail: err.stack ?? String(err)});
  process.exit(EXIT_INTERNAL);
});

try {
  await started;
} catch (err) {
  log.error('cannot start', {detail: String(err)});
  process.exit(1);
}
