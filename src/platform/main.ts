import './keep_reload_signal.js';
import {write, writeSync} from 'node:fs';
import {Command} from 'commander';
import {SteadyClock} from '../adapter/steady_clock.js';
import {BoundedWriter} from '../daemon/log/bounded_writer.js';
import {createLog} from '../daemon/log/create_log.js';
import {CoreProgram} from './core_program.js';
import {EntryProgram} from './entry_program.js';
import {PlatformNode} from './platform_node.js';
import {readPlatformSettings} from './read_platform_settings.js';
import {SettingsWatcher} from './settings_watcher.js';

/** As in sysexits.h: EX_SOFTWARE and EX_CONFIG. */
const EXIT_INTERNAL = 70;
const EXIT_SETTINGS = 78;
/** Time between the end of the process's work and its exit, to flush the log. */
const FLUSH_MS = 50;
/**
 * Time for which a log line waits for others, less than `FLUSH_MS`. At its limit
 * of lines a core process logs several hundred a second.
 */
const LOG_DELAY_MS = 20;
const STDOUT = 1;

const program = new Command('pimentoyoke-platform')
  .description('Runs one pimentoyoke process on the platform.')
  .argument('<role>', 'entry or core')
  .parse();
const [role] = program.args;
const path = process.env['PIMENTOYOKE_SETTINGS'] ?? '';

const clock = new SteadyClock();
const writer = new BoundedWriter(
  (text, done) => write(STDOUT, text, () => done()),
  undefined,
  {clock, delayMs: LOG_DELAY_MS},
);
const settings = readPlatformSettings(path);
if (settings.isErr || (role !== 'entry' && role !== 'core')) {
  const detail = settings.isErr
    ? settings.error
    : `unknown role "${role}"; expected entry or core`;
  process.stderr.write(`${detail}\n`);
  process.exit(EXIT_SETTINGS);
}

const {node, zone, seeds, isFirstStart} = settings.value;
const log = createLog({
  node,
  zone,
  isTerminal: false,
  write: line => writer.write(line),
});
const platformNode = new PlatformNode({settings: settings.value, clock, log});
const platformProcess =
  role === 'entry'
    ? new EntryProgram(platformNode)
    : new CoreProgram(platformNode);

const watcher = new SettingsWatcher({
  path,
  clock,
  log,
  // Other settings, such as addresses and limits, change only with a restart.
  onChange: changed => platformNode.directory.replaceSeeds(changed.seeds),
});

let isStopping = false;
/** Stops the process; further signals are ignored while it stops. */
async function stop(): Promise<void> {
  if (isStopping) return;
  isStopping = true;
  log.info('stopping');
  // A signal can arrive while the servers are being opened.
  await started;
  await platformProcess.stop();
  log.info('stopped', {dropped_lines: writer.droppedLines});
  clock.schedule(FLUSH_MS, () => process.exit(0));
}

// A line that explains the exit may still wait for others.
process.on('exit', () => {
  const rest = writer.takeRest();
  if (rest === '') return;
  try {
    writeSync(STDOUT, rest);
  } catch {
    // Nobody reads the log.
  }
});
process.on('SIGTERM', () => void stop());
process.on('SIGINT', () => void stop());
process.on('SIGHUP', () => watcher.reload('signal'));
// An unexpected exception may leave inconsistent state, so the process exits.
process.on('uncaughtException', err => {
  process.stderr.write(`${err.stack ?? String(err)}\n`);
  process.exit(EXIT_INTERNAL);
});

/** Not a top-level await, which the bundle's module format does not support. */
async function start(): Promise<void> {
  try {
    await platformProcess.start();
    watcher.start();
    log.info('started', {role, seeds, is_first_start: isFirstStart});
  } catch (err) {
    process.stderr.write(`cannot start: ${String(err)}\n`);
    process.exit(1);
  }
}

const started = start();
