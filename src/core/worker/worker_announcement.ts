import * as v from 'valibot';

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/;
const MAX_SLOTS = 4096;
const MAX_CONNECTIONS = 65_536;
const MAX_CLASSES = 4096;

const id = v.pipe(v.string(), v.regex(ID_PATTERN));
const count = (max: number) =>
  v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(max));

/** Validator of an announcement, which a worker sends periodically. */
export const WorkerAnnouncement = v.strictObject({
  worker: id,
  /** Changes with each start of the worker process. */
  incarnation: id,
  /** Increases with each announcement of an incarnation. */
  sequence: count(Number.MAX_SAFE_INTEGER),
  zone: id,
  rack: v.optional(id, 'unknown'),
  /** Origin (scheme, host and port) that serves requests to the worker. */
  address: v.pipe(v.string(), v.url(), v.maxLength(256)),
  slots: v.pipe(count(MAX_SLOTS), v.minValue(1)),
  /** One is reserved for control messages; each running task uses another. */
  connections: v.pipe(count(MAX_CONNECTIONS), v.minValue(2)),
  processors: v.optional(count(MAX_SLOTS), 0),
  memory_mb: v.optional(count(Number.MAX_SAFE_INTEGER), 0),
  accelerators: v.optional(count(MAX_SLOTS), 0),
  /** Classes that the worker serves; empty means all. */
  classes: v.optional(v.pipe(v.array(id), v.maxLength(MAX_CLASSES)), []),
  leaving: v.optional(v.boolean(), false),
  /** Highest epoch the worker has accepted. */
  epoch: v.optional(count(Number.MAX_SAFE_INTEGER), 0),
  /** Slots in use as counted by the worker; lags behind the dispatcher. */
  usage: v.optional(v.strictObject({slots_used: count(MAX_SLOTS)})),
});

/** Announcement of a worker. */
export type WorkerAnnouncement = Readonly<
  v.InferOutput<typeof WorkerAnnouncement>
>;
