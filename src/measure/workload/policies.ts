import type {ConfigSource} from '../../core/config/config_source.js';
import type {DispatchPolicy} from '../../core/dispatch/dispatch_policy.js';
import {FifoPolicy} from '../../core/dispatch/fifo_policy.js';
import {TargetPolicy} from '../../core/dispatch/target/target_policy.js';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';

interface MeasuredPolicy {
  readonly name: 'ours' | 'baseline';
  readonly create: (seed: number) => (config: ConfigSource) => DispatchPolicy;
}

/** Policies that the measurements compare. */
export const POLICIES: readonly MeasuredPolicy[] = [
  {
    name: 'ours',
    create: seed => config =>
      new TargetPolicy({config, random: new SeededRandom(seed)}),
  },
  {name: 'baseline', create: () => () => new FifoPolicy()},
];
