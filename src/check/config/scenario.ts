import * as fc from 'fast-check';

/** Most waits are shorter than an election, some are longer. */
const SHORT_WAIT_MS = 400;
const LONG_WAIT_MS = 8_000;
const MIN_COMMANDS = 15;
const MAX_COMMANDS = 60;
const MAX_INDEX = 1_000;

/** Relative frequency of each command. */
const COMMAND_WEIGHTS = {
  change: 30,
  resend: 8,
  evacuation: 14,
  read: 14,
  crash: 5,
  kill: 4,
  restart: 12,
  lose_disk: 4,
  cut: 5,
  cut_one_way: 3,
  heal: 7,
  loss: 3,
  delay: 3,
  disk_full: 2,
  disk_sync_failure: 4,
  disk_mend: 4,
  transfer: 2,
  replace: 3,
} as const;

interface ScenarioCommand {
  readonly kind: keyof typeof COMMAND_WEIGHTS;
  /** Selects a node, or a value from a list of settings. */
  readonly index: number;
  /** Selects a second node, an earlier change or a variant of the command. */
  readonly otherIndex: number;
  /** Simulated time until the next command, in ms. */
  readonly waitMs: number;
}

/** Generated sequence of operators' requests and faults. */
export interface Scenario {
  readonly seed: number;
  readonly voters: number;
  readonly snapshotEntries: number;
  readonly commands: readonly ScenarioCommand[];
}

const waitMs = fc.oneof(
  {weight: 3, arbitrary: fc.constant(0)},
  {weight: 4, arbitrary: fc.nat(SHORT_WAIT_MS)},
  {weight: 3, arbitrary: fc.nat(LONG_WAIT_MS)},
);

const command: fc.Arbitrary<ScenarioCommand> = fc.record({
  kind: fc.oneof(
    ...Object.entries(COMMAND_WEIGHTS).map(([kind, weight]) => ({
      weight,
      arbitrary: fc.constant(kind as keyof typeof COMMAND_WEIGHTS),
    })),
  ),
  index: fc.nat(MAX_INDEX),
  otherIndex: fc.nat(MAX_INDEX),
  waitMs,
});

const scenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer(),
  voters: fc.constantFrom(1, 3, 3, 3, 5),
  snapshotEntries: fc.constantFrom(2, 4, 8, 256),
  commands: fc.array(command, {
    minLength: MIN_COMMANDS,
    maxLength: MAX_COMMANDS,
    size: 'max',
  }),
});

export const Scenario = {arbitrary: scenario} as const;
