import * as fc from 'fast-check';

const MIN_COMMANDS = 10;
const MAX_COMMANDS = 40;
const MAX_INDEX = 1_000;
const MAX_WAIT_MS = 3_000;

/** Relative frequency of each command. */
const COMMAND_WEIGHTS = {
  publish: 30,
  resend: 6,
  race: 4,
  read: 14,
  lose_disks: 8,
  replace_machines: 8,
  power_loss: 4,
  kill_core: 3,
  cut: 5,
  cut_one_way: 5,
  drop_messages: 8,
  transfer: 3,
  calm: 8,
} as const;

/** The same of faults that hold up processes and messages. */
const HOLD_UP_WEIGHTS = {
  stall: 8,
  lag: 8,
  suspend: 6,
  lose_messages: 8,
} as const;

type Kind = keyof typeof COMMAND_WEIGHTS | keyof typeof HOLD_UP_WEIGHTS;

interface DocumentCommand {
  readonly kind: Kind;
  /** Selects a node. */
  readonly index: number;
  /** Selects a second node or a variant. */
  readonly otherIndex: number;
  /** Simulated time until the next command, in ms. */
  readonly waitMs: number;
}

/** Generated sequence of published documents, reads and tolerated faults. */
export interface DocumentScenario {
  readonly seed: number;
  readonly commands: readonly DocumentCommand[];
}

function createArbitrary(
  weights: Partial<Record<Kind, number>>,
): fc.Arbitrary<DocumentScenario> {
  const command: fc.Arbitrary<DocumentCommand> = fc.record({
    kind: fc.oneof(
      ...Object.entries(weights).map(([kind, weight]) => ({
        weight,
        arbitrary: fc.constant(kind as Kind),
      })),
    ),
    index: fc.nat(MAX_INDEX),
    otherIndex: fc.nat(MAX_INDEX),
    waitMs: fc.oneof(fc.constant(0), fc.nat(300), fc.nat(MAX_WAIT_MS)),
  });
  return fc.record({
    seed: fc.integer(),
    commands: fc.array(command, {
      minLength: MIN_COMMANDS,
      maxLength: MAX_COMMANDS,
      size: 'max',
    }),
  });
}

export const DocumentScenario = {
  arbitrary: createArbitrary({...COMMAND_WEIGHTS, ...HOLD_UP_WEIGHTS}),
  /** All processes run in time, and no message is lost by chance. */
  withoutHoldUps: createArbitrary(COMMAND_WEIGHTS),
} as const;
