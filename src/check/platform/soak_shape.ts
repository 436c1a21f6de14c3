interface Shape {
  readonly zones: number;
  readonly cores: number;
  readonly entries: number;
  readonly workers: number;
  /** Callers in each zone. */
  readonly callers: number;
  /** Maximum number of tasks of a job. */
  readonly maxTasks: number;
}

/** Sizes of the deployments that the soak runs. */
export const SoakShape: Readonly<Record<string, Shape>> = {
  /** One leader for all zones. */
  small: {
    ...{zones: 3, cores: 3, entries: 6, workers: 12},
    ...{callers: 4, maxTasks: 8},
  },
  /** A dispatcher for each zone: 54 workers and 2 core nodes a zone. */
  zones: {
    ...{zones: 2, cores: 4, entries: 4, workers: 108},
    ...{callers: 12, maxTasks: 24},
  },
  /** As many processes as a machine of 8 GB bears. */
  full: {
    ...{zones: 5, cores: 10, entries: 30, workers: 270},
    ...{callers: 12, maxTasks: 24},
  },
};
