import {StandInUpstream} from '../../../test-support/upstream/stand_in_upstream.js';

/**
 * Runs several stand-in upstreams in one process; arguments are the number of
 * the first, their count, and the callers' address of the daemon. Prints the
 * starts so far once a second.
 */
const [first, count, entry] = process.argv.slice(2);
const PRINT_MS = 200;

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
setInterval(() => process.stdout.write(`${starts}\n`), PRINT_MS);
process.on('SIGTERM', () => process.exit(0));
