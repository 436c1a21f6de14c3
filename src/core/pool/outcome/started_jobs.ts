/** Jobs of which workers have listed ended runs, for the next message. */
export class StartedJobs {
  private ids = new Set<string>();
  /** Called when there are jobs to send and there were none before. */
  onPending: () => void = () => undefined;

  /** Called when ends that were listed before have been recorded elsewhere. */
  onRecorded: (now: number) => void = () => undefined;

  /** Records an ended run of a task; returns the id of its job. */
  record(task: string): string {
    const id = task.slice(0, task.indexOf('.'));
    if (this.ids.size === 0) this.onPending();
    this.ids.add(id);
    return id;
  }

  /** Returns the jobs recorded since the last call. */
  take(): string[] {
    const ids = [...this.ids];
    this.ids = new Set();
    return ids;
  }
}
