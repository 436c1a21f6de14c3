import * as v from 'valibot';

/** Limits the memory and disk used by the log, its snapshots and all nodes. */
const MAX_CONTENT_LENGTH = 1024 * 1024;

/** Validator of `PublishedDocument`. */
export const PublishedDocument = v.object({
  /** Chosen by the operator; the document with the highest one is in force. */
  revision: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /** Text of the document, exactly as the operator sent it. */
  content: v.pipe(v.string(), v.maxLength(MAX_CONTENT_LENGTH)),
});

/**
 * Configuration document published by an operator. Unlike classes and tenants,
 * it is always replaced completely, and the operator chooses its revision.
 */
export type PublishedDocument = Readonly<
  v.InferOutput<typeof PublishedDocument>
>;
