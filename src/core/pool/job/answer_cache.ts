import type * as v from 'valibot';
import type {PoolMessage} from '../node/pool_message.js';

type AnswerMessage = v.InferOutput<typeof PoolMessage.answer>;

interface KeptAnswer {
  readonly message: AnswerMessage;
  /** Entry node to which the answer was sent. */
  readonly owner: string;
  readonly at: number;
}

/** Time for which entry nodes can fetch an answer that they did not receive. */
const RETENTION_MS = 4_000;

/** Recent answers, by job id. */
export class AnswerCache {
  private readonly answers = new Map<string, KeptAnswer>();

  get(id: string): KeptAnswer | undefined {
    return this.answers.get(id);
  }

  set(message: AnswerMessage, owner: string, now: number): void {
    const {id} = message;
    this.answers.delete(id);
    this.answers.set(id, {message, owner, at: now});
  }

  delete(id: string): void {
    this.answers.delete(id);
  }

  clear(): void {
    this.answers.clear();
  }

  expire(now: number): void {
    for (const [id, {at}] of this.answers) {
      if (now - at < RETENTION_MS) return;
      this.answers.delete(id);
    }
  }
}
