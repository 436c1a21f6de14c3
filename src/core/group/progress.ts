/** What a leader knows about the log of another member. */
export class Progress {
  /** Incarnation of the last answer; 0 before the first. */
  incarnation = 0;
  /** Group of the last answer; 0 when the member has no memory. */
  group = 0;
  /** Last index known to match. */
  match = 0;
  /** Next index to send. */
  next = 1;
  /** When a snapshot was sent last. */
  installAt = -Infinity;

  /** When an answer came last. */
  constructor(public heardAt: number) {}

  /** Notes who answers; another incarnation or group has none of our log. */
  identify(incarnation: number, group: number): void {
    if (incarnation === this.incarnation && group === this.group) return;
    this.incarnation = incarnation;
    this.group = group;
    this.match = 0;
    this.installAt = -Infinity;
  }
}
