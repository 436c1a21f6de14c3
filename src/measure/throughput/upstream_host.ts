import {StandInUpstream} from '../../../test-support/upstream/stand_in_upstream.js';

/**
 * Runs several stand-in upstreams in one process. Arguments: number of the
 * first upstream, number of upstreams and URL of the caller API of a daemon.
 * Prints the total number of starts every {@link PRINT_INTERVAL_MS}.
 */
const [first, count, entry] = process.argv.slice(2);
const PRINT_INTERVAL_MS = 200;

let starts = 0;
const upstreams = Array.from({length: Number(count)}, (_, at) => {
  const worker = `w${Number(first) + at}`;
  return new StandInUpstream({
    worker,
    incarnation: `${worker}-1`,
    zone: 'arbat',
    slots: 8,
    connections: 64,
    entries: [entry!],
    onStart: () => {
      starts += 1;
    },
  });
});
await Promise.all(upstreams.map(upstream => upstream.start()));
setInterval(() => process.stdout.write(`${starts}\n`), PRINT_INTERVAL_MS);
process.on('SIGTERM', () => process.exit(0));
