/** Replication progress of another member, as known to the leader. */
export class Progress {
  /** Incarnation in the last acknowledgement; 0 before the first. */
  incarnation = 0;
  /** Group in the last acknowledgement; 0 if the member has no state. */
  group = 0;
  /** Last index known to match the leader's log. */
  match = 0;
  /** Next index to send. */
  next = 1;
  /** Epoch milliseconds at which the last snapshot was sent. */
  snapshotSentAt = -Infinity;

  /** `lastReplyAt` is the time of the last reply, in epoch milliseconds. */
  constructor(public lastReplyAt: number) {}

  /** Resets the progress if the member's incarnation or group has changed. */
  updateSender(incarnation: number, group: number): void {
    if (incarnation === this.incarnation && group === this.group) return;
    this.incarnation = incarnation;
    this.group = group;
    this.match = 0;
    this.snapshotSentAt = -Infinity;
  }
}
