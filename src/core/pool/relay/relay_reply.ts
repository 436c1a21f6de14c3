import {RunEnd} from '../lease/run_end.js';
import {RunRefusal} from '../lease/run_refusal.js';
import type {WorkerClient} from '../lease/worker_client.js';

type OrderReply = Awaited<ReturnType<WorkerClient['start']>>;
type PollReply = Awaited<ReturnType<WorkerClient['poll']>>;
type Fields = Readonly<Record<string, unknown>>;

const RUN_ENDS: ReadonlySet<unknown> = new Set(Object.values(RunEnd));
const REASONS: ReadonlySet<unknown> = new Set(Object.values(RunRefusal));

/**
 * Validators of the replies of workers that entry nodes relay. Written by hand,
 * as the leader receives two of them for each task.
 */
export const RelayReply = {
  /** Whether a value is the reply to a start or a stop. */
  isOrderReply(value: unknown): value is OrderReply {
    if (!isFields(value)) return false;
    return value['kind'] === 'ok'
      ? isNumber(value['clockMs'])
      : isWithoutStatus(value);
  },

  /** Whether a value is the reply to a poll. */
  isPollReply(value: unknown): value is PollReply {
    if (!isFields(value)) return false;
    return value['kind'] === 'ok'
      ? isStatus(value['look'])
      : isWithoutStatus(value);
  },
};

function isWithoutStatus(reply: Fields): boolean {
  const {kind, reason, detail, isRefused} = reply;
  if (kind === 'refused') return REASONS.has(reason);
  if (kind !== 'lost' || typeof detail !== 'string') return false;
  // Nodes of an earlier version do not send it.
  return isRefused === undefined || typeof isRefused === 'boolean';
}

function isStatus(value: unknown): boolean {
  if (!isFields(value)) return false;
  const {clockMs, bornAt, running, ended, isPartial} = value;
  return (
    isNumber(clockMs) &&
    // CBOR has a value of its own for undefined.
    (bornAt === undefined || isNumber(bornAt)) &&
    Array.isArray(running) &&
    running.every(isRun) &&
    Array.isArray(ended) &&
    ended.every(isEndedRun) &&
    typeof isPartial === 'boolean'
  );
}

function isRun(value: unknown): boolean {
  if (!isFields(value)) return false;
  return typeof value['task'] === 'string' && isCount(value['run']);
}

function isEndedRun(value: unknown): boolean {
  if (!isFields(value)) return false;
  const {number, how} = value;
  return isRun(value) && isCount(number) && RUN_ENDS.has(how);
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null;
}

function isNumber(value: unknown): boolean {
  return typeof value === 'number' && !Number.isNaN(value);
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
