/** Runs one case: exit code 1 if the rule was broken, 0 if it held, else 2. */
import {clearTimeout, setTimeout} from 'node:timers';
import {Events} from './events.js';

const LIMIT_MS = 112_000;

/**
 * `play` gets the events and whether the disruption is played; it returns the
 * breaks that it saw, as texts, and throws if the case could not run. `open`
 * receives what has to be stopped at the end.
 */
export async function runCase(folder, play) {
  const events = new Events();
  const hasTrouble = process.env.TROUBLE !== '0';
  const open = [];
  let code = 2;
  const finish = async () => {
    for (const each of open.splice(0)) await each.stop();
    events.add('verdict', {code});
    events.write(new URL('record.txt', folder).pathname);
    process.exit(code);
  };
  const timer = setTimeout(() => {
    events.add('not_run', {detail: 'the time limit was reached'});
    void finish();
  }, LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => void finish());
  try {
    const breaks = await play({events, hasTrouble, open});
    for (const detail of breaks.slice(0, 20)) {
      events.add('broken', {detail});
      console.log(`broken: ${detail}`);
    }
    code = breaks.length > 0 ? 1 : 0;
    if (code === 0) console.log('the rule held');
  } catch (err) {
    events.add('not_run', {detail: String(err.stack ?? err)});
    console.log(`the case could not run: ${String(err)}`);
  }
  clearTimeout(timer);
  await finish();
}
