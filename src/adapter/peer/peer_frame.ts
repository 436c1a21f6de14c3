import * as v from 'valibot';

const id = v.pipe(v.number(), v.integer());
/** A message kind can contain a zone name, which has up to 63 characters. */
const name = v.pipe(v.string(), v.maxLength(128));
const text = v.pipe(v.string(), v.maxLength(4096));

/** Schema of a frame on a connection between two daemons. */
export const PeerFrame = v.variant('type', [
  v.object({type: v.literal('hello'), node: name}),
  v.object({type: v.literal('ping')}),
  v.object({type: v.literal('pong')}),
  v.object({type: v.literal('message'), kind: name, body: v.unknown()}),
  v.object({type: v.literal('request'), id, method: name, body: v.unknown()}),
  v.object({type: v.literal('response'), id, body: v.unknown()}),
  /** The request handler failed; whether it had any effect is unknown. */
  v.object({type: v.literal('failure'), id, detail: text}),
]);

/** A frame on a connection between two daemons. */
export type PeerFrame = v.InferOutput<typeof PeerFrame>;
