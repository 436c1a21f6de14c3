/** Queue of the jobs submitted under one host and path prefix. */
interface Queue {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** A job is on time within `stretch` x its ideal run time + `targetMs`. */
  readonly targetMs: number;
  readonly stretch: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Number of failed attempts of a task after which its job fails. */
  readonly maxAttempts: number;
  /** Whether a policy service must be queried for each step of a job. */
  readonly needsAdvice: boolean;
}

interface Service {
  readonly name: string;
  /** Whether its workers refuse tasks that exceed their free capacity. */
  readonly guardsCapacity: boolean;
}

interface Content {
  readonly revision: number;
  readonly queues: readonly Queue[];
  readonly services: readonly Service[];
}

/** Queues and services of one configuration revision; immutable. */
export class RoutingTable {
  private readonly byHost = new Map<string, Queue[]>();
  private readonly services: ReadonlySet<string>;

  constructor(readonly content: Content) {
    this.services = new Set(content.services.map(({name}) => name));
    for (const queue of content.queues) {
      const host = queue.host.toLowerCase();
      const queues = this.byHost.get(host) ?? [];
      queues.push(queue);
      this.byHost.set(host, queues);
    }
    // Sorted so that `find` returns the queue with the longest matching prefix.
    for (const queues of this.byHost.values()) {
      queues.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  hasService(name: string): boolean {
    return this.services.has(name);
  }

  /** Host names are case-insensitive. */
  find(host: string, path: string): Queue | undefined {
    const queues = this.byHost.get(host.toLowerCase());
    return queues?.find(q => path.startsWith(q.prefix));
  }
}
