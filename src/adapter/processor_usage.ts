/** Processor time that this process uses. */
export class ProcessorUsage {
  private lastMs = readMs();

  /** Returns the time used since the last call, in ms. */
  take(): number {
    const before = this.lastMs;
    this.lastMs = readMs();
    return this.lastMs - before;
  }
}

function readMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1_000;
}
