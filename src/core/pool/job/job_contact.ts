/** Contact with the entry node that holds the request of a job. */
export interface JobContact {
  /**
   * Latest time, on the clock of the dispatcher, at which the entry node is known
   * to have held the request.
   */
  readonly contactAt: number;
}

/** Contacts that do not depend on messages. */
export const JobContact = {
  /** Of a job whose request is held in the dispatcher's own process. */
  permanent: {contactAt: Number.POSITIVE_INFINITY},
  /** Of a job that no entry node has submitted to this dispatcher. */
  none: {contactAt: Number.NEGATIVE_INFINITY},
} as const satisfies Record<string, JobContact>;
