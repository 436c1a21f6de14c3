import {Command} from 'commander';
import {StandInUpstream} from './stand_in_upstream.js';

interface Options {
  readonly worker: string;
  readonly zone: string;
  readonly slots: string;
  readonly slowness: string;
  readonly failing?: boolean;
  readonly hanging?: boolean;
  readonly duplicating?: boolean;
  readonly entry: string[];
}

const program = new Command('stand-in-upstream')
  .description('Upstream for tests, whose tasks only wait.')
  .requiredOption('--worker <id>', 'worker id')
  .requiredOption('--zone <zone>', 'availability zone')
  .requiredOption('--entry <url...>', 'URLs of the caller APIs of daemons')
  .option('--slots <n>', 'number of concurrent tasks', '8')
  .option(
    '--slowness <factor>',
    'factor applied to the run time of each task',
    '1',
  )
  .option('--failing', 'fail every task immediately')
  .option('--hanging', 'never reply to a request')
  .option('--duplicating', 'send each attempt report twice')
  .parse();

const opts = program.opts<Options>();
const upstream = new StandInUpstream({
  worker: opts.worker,
  incarnation: `${Date.now()}`,
  zone: opts.zone,
  slots: Number(opts.slots),
  connections: 64,
  entries: opts.entry,
  onStart: ({id, key, task, payload}) => {
    const {origin} = (payload ?? {}) as {origin?: unknown};
    print({start: id, key, task, origin});
  },
  onEnd: ({id, state}) => print({end: id, state}),
});
upstream.runTimeFactor = Number(opts.slowness);
upstream.isFailing = opts.failing ?? false;
upstream.isHanging = opts.hanging ?? false;
upstream.duplicatesReports = opts.duplicating ?? false;
await upstream.start();
process.on('SIGUSR2', () => {
  upstream.isLeaving = true;
});
process.on('SIGTERM', () => void upstream.stop().then(() => process.exit(0)));

function print(report: object): void {
  process.stdout.write(`${JSON.stringify(report)}\n`);
}
