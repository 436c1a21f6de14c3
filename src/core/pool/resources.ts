import * as v from 'valibot';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

const Schema = v.object({
  /** Thousandths of a core. */
  cpu: amount,
  memoryMb: amount,
  accelerators: amount,
});

/** What a task needs, or a worker has. */
export type Resources = Readonly<v.InferOutput<typeof Schema>>;

/** Validator and arithmetic of resources. */
export const Resources = {
  schema: Schema,

  plus: (a: Resources, b: Resources): Resources => ({
    cpu: a.cpu + b.cpu,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  }),

  minus: (a: Resources, b: Resources): Resources => ({
    cpu: a.cpu - b.cpu,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  }),

  isWithin: (need: Resources, room: Resources): boolean =>
    need.cpu <= room.cpu &&
    need.memoryMb <= room.memoryMb &&
    need.accelerators <= room.accelerators,
};
