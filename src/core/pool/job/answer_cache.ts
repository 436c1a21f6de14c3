import type {PoolAnswer} from './pool_answer.js';

/** Time for which entry nodes can fetch an answer that they did not receive. */
const RETENTION_MS = 4_000;

/** Recent answers, by job id. */
export class AnswerCache {
  private readonly answers = new Map<
    string,
    {readonly answer: PoolAnswer; readonly at: number}
  >();

  get(id: string): PoolAnswer | undefined {
    return this.answers.get(id)?.answer;
  }

  set(id: string, answer: PoolAnswer, now: number): void {
    this.answers.delete(id);
    this.answers.set(id, {answer, at: now});
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
