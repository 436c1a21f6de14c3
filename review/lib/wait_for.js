import {sleep} from './sleep.js';

const CHECK_MS = 10;

/** Waits until `isMet` returns a value that is not falsy, and returns it. */
export async function waitFor(what, isMet, timeoutMs) {
  const until = Date.now() + timeoutMs;
  for (;;) {
    const value = await isMet();
    if (value) return value;
    if (Date.now() > until) throw new Error(`timeout: ${what}`);
    await sleep(CHECK_MS);
  }
}
