/** Jobs of which workers have listed ended runs, for the next message. */
export class StartedJobs {
  private ids = new Set<string>();

  /** Records an ended run of a task; returns the id of its job. */
  record(task: string): string {
    const id = task.slice(0, task.indexOf('.'));
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
