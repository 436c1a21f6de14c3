/** Processor time that this process uses. */
export class ProcessorUsage {
  private lastMs = ProcessorUsage.totalMs();

  /** Returns the time used since the last call, in ms. */
  take(): number {
    const before = this.lastMs;
    this.lastMs = ProcessorUsage.totalMs();
    return this.lastMs - before;
  }

  /** Returns the time used since the start of the process, in ms. */
  static totalMs(): number {
    const {user, system} = process.cpuUsage();
    return (user + system) / 1_000;
  }
}
