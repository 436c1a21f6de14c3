import type {HistoryEvent} from './history_event.js';

/** Invariant I6: time after which a leaving worker gets no starts. */
const LEAVING_LIMIT_MS = 2_000;

type Size = Extract<HistoryEvent, {kind: 'size'}>;

/** Checks invariant I6 and the slots and memory that each worker announced. */
export function checkWorkers(history: readonly HistoryEvent[]): string[] {
  const violations: string[] = [];
  const sizes = new Map<string, Size>();
  const leavingSince = new Map<string, number>();
  const running = new Map<string, Map<string, number>>();
  let hasLostState = false;
  for (const event of history) {
    if (event.kind === 'memory_lost') {
      hasLostState = true;
    } else if (event.kind === 'size') {
      sizes.set(event.worker, event);
    } else if (event.kind === 'leaving') {
      const id = `${event.worker}/${event.incarnation}`;
      if (!leavingSince.has(id)) leavingSince.set(id, event.at);
    } else if (event.kind === 'end') {
      running.get(event.worker)?.delete(`${event.incarnation}${event.attempt}`);
    } else if (event.kind === 'start') {
      const {worker, incarnation, sentAt} = event;
      const leavingAt = leavingSince.get(`${worker}/${incarnation}`);
      if (leavingAt !== undefined && sentAt > leavingAt + LEAVING_LIMIT_MS) {
        violations.push(
          `${worker}: got the start of ${event.attempt} ${sentAt - leavingAt} ms after leaving`,
        );
      }
      const runningAttempts = running.get(worker) ?? new Map<string, number>();
      running.set(worker, runningAttempts);
      runningAttempts.set(`${incarnation}${event.attempt}`, event.memoryMb);
      const size = sizes.get(worker);
      const memoryMb = [...runningAttempts.values()].reduce(
        (sum, mb) => sum + mb,
        0,
      );
      // After a loss of state, the dispatcher does not know the memory size
      // of attempts that still run.
      if (size && memoryMb > size.memoryMb && !hasLostState) {
        violations.push(`${worker}: ${memoryMb} of ${size.memoryMb} MB in use`);
      }
      if (
        size &&
        runningAttempts.size > Math.min(size.slots, size.connections)
      ) {
        violations.push(
          `${worker}: ${runningAttempts.size} tasks on ${size.slots} slots`,
        );
      }
    }
  }
  return violations;
}
