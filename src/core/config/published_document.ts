import * as v from 'valibot';

/** Bounds the copies that the log, its snapshots and every node hold. */
const MAX_CONTENT_LENGTH = 1024 * 1024;

/** Validator of an operator's document. */
export const PublishedDocument = v.object({
  /** Chosen by the operator; the highest one is in force. */
  revision: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /** The document as the operator sent it. */
  content: v.pipe(v.string(), v.maxLength(MAX_CONTENT_LENGTH)),
});

/**
 * A whole document that an operator numbers. Unlike classes and tenants, it is
 * replaced as a whole, and its number comes from outside.
 */
export type PublishedDocument = Readonly<
  v.InferOutput<typeof PublishedDocument>
>;
