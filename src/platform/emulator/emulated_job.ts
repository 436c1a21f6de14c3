interface JobStep {
  readonly tasks: number;
  readonly cpu: number;
  readonly memoryMb: number;
  /** Run time of each task, in ms. */
  readonly runMs: number;
}

/** A best-effort job whose payload tells emulated workers what its tasks do. */
export class EmulatedJob {
  constructor(
    readonly id: string,
    /** The tasks of each step start after those of the one before. */
    readonly steps: readonly JobStep[],
  ) {}

  /** Names of all tasks, as workers see them. */
  get tasks(): string[] {
    return this.steps.flatMap(({tasks}, step) =>
      Array.from({length: tasks}, (_, task) => `${this.id}.0.${step}.${task}`),
    );
  }

  /** Body of the submission. */
  toBody(): object {
    return {
      spec: JSON.stringify(this.steps),
      best_effort: true,
      steps: this.steps.map(({tasks, cpu, memoryMb, runMs}, step) => ({
        ...{count: tasks, cpu, mem_mb: memoryMb, estimated_ms: runMs},
        ...(step > 0 ? {after: [step - 1]} : {}),
      })),
    };
  }

  /** Id of the job that a task belongs to. */
  static idOf(task: string): string {
    return task.slice(0, task.indexOf('.'));
  }

  /** Step of a task, from the payload of its job. */
  static stepOf(task: string, payload: string): JobStep {
    const steps = JSON.parse(payload) as readonly JobStep[];
    return steps[Number(task.split('.')[2])]!;
  }
}
