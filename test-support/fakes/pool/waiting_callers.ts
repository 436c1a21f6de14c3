import type {PoolAnswer} from '../../../src/core/pool/job/pool_answer.js';

type Respond = (answer: PoolAnswer) => void;

interface Caller {
  readonly entry: string;
  readonly respond: Respond;
}

/** Callers that wait for the answers of their jobs, by job id. */
export class WaitingCallers {
  private readonly byId = new Map<string, Caller>();

  /** Adds a caller; only the answer to its last request reaches it. */
  add(id: string, entry: string, onAnswer: Respond): Respond {
    const respond: Respond = answer => {
      if (this.byId.get(id)?.respond !== respond) return;
      this.byId.delete(id);
      onAnswer(answer);
    };
    this.byId.set(id, {entry, respond});
    return respond;
  }

  remove(id: string): Caller | undefined {
    const caller = this.byId.get(id);
    this.byId.delete(id);
    return caller;
  }

  has(id: string): boolean {
    return this.byId.has(id);
  }

  /** Ids of the jobs whose callers wait at an entry node. */
  jobsAt(entry: string): string[] {
    const waiting = [...this.byId].filter(([, c]) => c.entry === entry);
    return waiting.map(([id]) => id);
  }
}
