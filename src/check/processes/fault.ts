/** Faults that the check of real processes injects. */
export const Fault = {
  killDispatcher: 'kill_dispatcher',
  killOther: 'kill_other',
  /** Kills one daemon in each zone, so that each group keeps a majority. */
  killTwo: 'kill_two',
  stopDispatcher: 'stop_dispatcher',
  drain: 'drain',
  killUpstream: 'kill_upstream',
  silentLink: 'silent_link',
} as const;

export type Fault = (typeof Fault)[keyof typeof Fault];
