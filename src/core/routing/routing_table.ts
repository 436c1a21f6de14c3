/** A queue of jobs of one kind. */
interface Queue {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** Response target beyond the stretched run time. */
  readonly targetMs: number;
  /** A job is on time within this factor of its ideal run time, plus target. */
  readonly stretch: number;
  /** 0 comes first. */
  readonly priority: number;
  /** Failed runs of a task after which its job has failed. */
  readonly maxAttempts: number;
  /** Whether its policy service must be asked for each step. */
  readonly needsAdvice: boolean;
}

interface Service {
  readonly name: string;
  /** Whether its workers refuse what does not fit. */
  readonly guardsCapacity: boolean;
}

interface Content {
  readonly revision: number;
  readonly queues: readonly Queue[];
  readonly services: readonly Service[];
}

/** The queues and services in force; immutable. */
export class RoutingTable {
  private readonly byHost = new Map<string, Queue[]>();

  constructor(readonly content: Content) {
    for (const queue of content.queues) {
      const queues = this.byHost.get(queue.host) ?? [];
      queues.push(queue);
      this.byHost.set(queue.host, queues);
    }
    // The longest prefix wins.
    for (const queues of this.byHost.values()) {
      queues.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  find(host: string, path: string): Queue | undefined {
    return this.byHost.get(host)?.find(q => path.startsWith(q.prefix));
  }
}
