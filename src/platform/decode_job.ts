import {Result} from 'true-myth';
import * as v from 'valibot';
import type {PoolJob} from '../core/pool/job/pool_job.js';

/** Larger jobs are refused; callers are expected to send up to 840 tasks. */
const MAX_TASKS = 2_000;
const MAX_PAYLOAD_LENGTH = 8_000;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Accepts a field only if it is absent, 0, false or empty. */
const isUnset = v.optional(
  v.union([v.literal(0), v.literal(false), v.literal('')]),
);

/** Fields of a job or step that request features not supported yet. */
const UNSUPPORTED_FIELDS = {
  gang: isUnset,
  same_rack: isUnset,
  long_running: isUnset,
  repeat_count: isUnset,
  fills: isUnset,
  target_ms: isUnset,
  may_miss: isUnset,
};

const StepBody = v.object({
  /** Number of tasks. */
  count: v.pipe(count, v.minValue(1)),
  /** Demand of one task, in thousandths of a core. */
  cpu: v.optional(nonNegativeNumber, 0),
  mem_mb: v.optional(nonNegativeNumber, 0),
  /** Accelerators of one task. */
  gpu: v.optional(nonNegativeNumber, 0),
  estimated_ms: v.optional(nonNegativeNumber, 0),
  /** Indexes of the steps that must end first. */
  after: v.optional(v.array(count), []),
  /** Label that a worker must have. */
  requires: v.optional(v.string(), ''),
  data_rack: v.optional(v.string(), ''),
  /** Maximum number of the step's tasks on one worker; 0 means no limit. */
  anti_affinity: v.optional(count, 0),
});

const JobBody = v.object({
  /** Payload that is passed to the worker with each task. */
  spec: v.pipe(v.string(), v.maxLength(MAX_PAYLOAD_LENGTH)),
  steps: v.pipe(v.array(StepBody), v.minLength(1)),
});

/**
 * The supported kind of job: best-effort, which means that it is not stored and
 * that its caller gets the reply when it ends.
 */
const SupportedJob = v.object({
  ...UNSUPPORTED_FIELDS,
  best_effort: v.literal(true),
  steps: v.array(v.object(UNSUPPORTED_FIELDS)),
});

interface DecodeError {
  readonly kind: 'invalid' | 'unsupported';
  readonly detail: string;
}

/**
 * Decodes the body of a job submission. The error distinguishes a malformed
 * job (`invalid`) from a well-formed one that needs an unsupported feature.
 */
export function decodeJob(
  id: string,
  body: unknown,
): Result<PoolJob, DecodeError> {
  const parsed = v.safeParse(JobBody, body);
  if (!parsed.success) {
    return Result.err({
      kind: 'invalid',
      detail: describeIssue(parsed.issues[0]),
    });
  }
  const supported = v.safeParse(SupportedJob, body);
  if (!supported.success) {
    const detail = describeIssue(supported.issues[0]);
    return Result.err({kind: 'unsupported', detail});
  }
  const {spec, steps} = parsed.output;
  const tasks = steps.reduce((sum, step) => sum + step.count, 0);
  const isOrdered = steps.every((s, at) => s.after.every(a => a < at));
  if (tasks === 0 || tasks > MAX_TASKS || !isOrdered) {
    const detail =
      `steps: expected 1 to ${MAX_TASKS} tasks in total, ` +
      'each step after earlier steps only';
    return Result.err({kind: 'invalid', detail});
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

function describeIssue(issue: v.BaseIssue<unknown>): string {
  return `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
}
