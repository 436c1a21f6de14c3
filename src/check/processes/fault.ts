/** Faults that the check of processes makes. */
export const Fault = {
  killDispatcher: 'kill_dispatcher',
  killOther: 'kill_other',
  /** In two zones at once, such that each group keeps its majority. */
  killTwo: 'kill_two',
  stopDispatcher: 'stop_dispatcher',
  drain: 'drain',
  killUpstream: 'kill_upstream',
  silentLink: 'silent_link',
} as const;

export type Fault = (typeof Fault)[keyof typeof Fault];
