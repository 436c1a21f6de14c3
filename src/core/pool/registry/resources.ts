import * as v from 'valibot';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

const Schema = v.object({
  /** Thousandths of a processor core. */
  cpu: amount,
  memoryMb: amount,
  accelerators: amount,
});

/** Resources that a task needs or a worker has. */
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

  isWithin: (demand: Resources, available: Resources): boolean =>
    demand.cpu <= available.cpu &&
    demand.memoryMb <= available.memoryMb &&
    demand.accelerators <= available.accelerators,
};
