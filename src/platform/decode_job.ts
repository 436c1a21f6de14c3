import {Result} from 'true-myth';
import * as v from 'valibot';
import type {PoolJob} from '../core/pool/pool_job.js';

/** Larger jobs are refused; the brief speaks of up to 840 tasks. */
const MAX_TASKS = 2_000;
const MAX_PAYLOAD_LENGTH = 8_000;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

/** A field that is left out where it is 0, false or empty. */
const isUnset = v.optional(
  v.union([v.literal(0), v.literal(false), v.literal('')]),
);

/** Fields of a job or step that ask for what is not supported yet. */
const UNSUPPORTED = {
  gang: isUnset,
  same_rack: isUnset,
  long_running: isUnset,
  repeat_count: isUnset,
  fills: isUnset,
  target_ms: isUnset,
  may_miss: isUnset,
};

const WireStep = v.object({
  count,
  cpu: v.optional(amount, 0),
  mem_mb: v.optional(amount, 0),
  gpu: v.optional(amount, 0),
  estimated_ms: v.optional(amount, 0),
  after: v.optional(v.array(count), []),
  requires: v.optional(v.string(), ''),
  data_rack: v.optional(v.string(), ''),
  anti_affinity: v.optional(count, 0),
});

const WireJob = v.object({
  spec: v.pipe(v.string(), v.maxLength(MAX_PAYLOAD_LENGTH)),
  steps: v.pipe(v.array(WireStep), v.minLength(1)),
});

/** The kind of job that is supported: not stored, and answered at its end. */
const Supported = v.object({
  ...UNSUPPORTED,
  best_effort: v.literal(true),
  steps: v.array(v.object(UNSUPPORTED)),
});

interface Problem {
  readonly kind: 'invalid' | 'unsupported';
  readonly detail: string;
}

/** Decodes the body of a job's submission. */
export function decodeJob(id: string, body: unknown): Result<PoolJob, Problem> {
  const parsed = v.safeParse(WireJob, body);
  if (!parsed.success) {
    return Result.err({kind: 'invalid', detail: describe(parsed.issues[0])});
  }
  const supported = v.safeParse(Supported, body);
  if (!supported.success) {
    const detail = describe(supported.issues[0]);
    return Result.err({kind: 'unsupported', detail});
  }
  const {spec, steps} = parsed.output;
  const tasks = steps.reduce((sum, step) => sum + step.count, 0);
  const isOrdered = steps.every((s, at) => s.after.every(a => a < at));
  if (tasks === 0 || tasks > MAX_TASKS || !isOrdered) {
    return Result.err({kind: 'invalid', detail: 'steps: out of bounds'});
  }
  return Result.ok({
    id,
    payload: spec,
    steps: steps.map(step => ({
      count: step.count,
      demand: {cpu: step.cpu, memoryMb: step.mem_mb, accelerators: step.gpu},
      estimatedMs: step.estimated_ms,
      after: step.after,
      ...(step.requires ? {requiredLabel: step.requires} : {}),
      ...(step.data_rack ? {dataRack: step.data_rack} : {}),
      ...(step.anti_affinity ? {maxPerWorker: step.anti_affinity} : {}),
    })),
  });
}

function describe(issue: v.BaseIssue<unknown>): string {
  return `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
}
