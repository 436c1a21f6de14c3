import * as fc from 'fast-check';

/** Waits are mostly shorter than an election and sometimes longer. */
const SHORT_WAIT_MS = 400;
const LONG_WAIT_MS = 8_000;
const MIN_COMMANDS = 15;
const MAX_COMMANDS = 60;
const MAX_INDEX = 1_000;

/** Commands by how often they are drawn. */
const COMMAND_WEIGHTS = {
  change: 30,
  resend: 8,
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
  /** Picks a node, and a second one or an earlier change. */
  readonly index: number;
  readonly otherIndex: number;
  /** Simulated ms until the next command. */
  readonly waitMs: number;
}

/** A generated interleaving of operators' requests and faults. */
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

/** Generator of scenarios. */
export const Scenario = {arbitrary: scenario} as const;
