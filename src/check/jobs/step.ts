/** Step of a generated run: a wait and then a request or a fault. */
export interface Step {
  /** Simulated time before the action, in ms. */
  readonly waitMs: number;
  readonly action: Action;
}

type Action =
  | {
      readonly kind: 'submit';
      readonly className: string;
      readonly repeatable: boolean;
      readonly tasks: ReadonlyArray<{
        readonly ms: number;
        readonly mb: number;
        readonly fail: boolean;
      }>;
    }
  | {
      /** Requests for an earlier job. */
      readonly kind:
        | 'resubmit'
        | 'submit_other_body'
        | 'cancel'
        | 'cancel_then_submit'
        | 'submit_then_cancel'
        | 'fetch'
        | 'acknowledge';
      readonly job: number;
    }
  | {readonly kind: 'submit_aged'; readonly offsetMs: number}
  | {
      /** Faults and changes of state of a worker. */
      readonly kind:
        | 'die'
        | 'restart'
        | 'cut'
        | 'deafen'
        | 'mute'
        | 'heal'
        | 'fail_all'
        | 'refuse_all'
        | 'leave'
        | 'repeat_reports'
        | 'restart_then_late_announcement'
        | 'late_announcement'
        | 'lie_about_usage';
      readonly worker: number;
    }
  | {
      readonly kind: 'straggle' | 'delay_starts' | 'delay_reports';
      readonly worker: number;
      readonly amount: number;
    }
  | {
      readonly kind: 'take_over';
      readonly node: number;
      readonly noticedAfterMs: number;
      readonly keepsProposals: boolean;
    }
  /** Delivers the announcements of a worker to this member only. */
  | {
      readonly kind: 'announce_to_one';
      readonly worker: number;
      readonly node: number;
    }
  | {readonly kind: 'stall_commits'; readonly ms: number}
  | {readonly kind: 'all_die'}
  | {readonly kind: 'lose_memory'}
  | {readonly kind: 'delete_class'}
  | {readonly kind: 'pass_retention'};
