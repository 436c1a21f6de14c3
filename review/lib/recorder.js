import {closeSync, openSync, writeSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

/** Writes one line for each event of a case, with the time since its start. */
export class Recorder {
  constructor(file) {
    this.fd = openSync(file, 'w');
    this.startedAt = performance.now();
  }

  /** Time since the start, in ms. */
  get now() {
    return performance.now() - this.startedAt;
  }

  write(event, fields = {}) {
    const pairs = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
    const time = (this.now / 1_000).toFixed(3).padStart(8);
    writeSync(this.fd, `${[`${time} s`, event, ...pairs].join(' ')}\n`);
  }

  close() {
    closeSync(this.fd);
  }
}
