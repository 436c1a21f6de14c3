/** What a leader knows about the log of another member. */
export class Progress {
  /** Incarnation of the last answer; 0 before the first. */
  incarnation = 0;
  /** Group of the last answer; 0 when the member has no memory. */
  group = 0;
  /** Last index known to match. */
  matchIndex = 0;
  /** Next index to send. */
  nextIndex = 1;
  /** When a snapshot was sent last. */
  snapshotSentAt = -Infinity;

  /** When an answer came last. */
  constructor(public lastReplyAt: number) {}

  /** Notes who answers; another incarnation or group has none of our log. */
  updateSender(incarnation: number, group: number): void {
    if (incarnation === this.incarnation && group === this.group) return;
    this.incarnation = incarnation;
    this.group = group;
    this.matchIndex = 0;
    this.snapshotSentAt = -Infinity;
  }
}
