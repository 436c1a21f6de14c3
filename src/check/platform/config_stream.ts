import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {OperatorConfig} from './operator_config.js';

/** Versions below are those that start the deployment. */
const FIRST_VERSION = 100;
const MAX_STEP = 7;
/** Routes that a change adds or removes at most, and those kept at least. */
const MAX_ADDED = 3;
const MAX_KEPT = 8;

/** Draws configurations that each differ from the one before. */
export class ConfigStream {
  newest: OperatorConfig;
  private routeCount = 0;

  constructor(private readonly random: SeededRandom) {
    const services = OperatorConfig.SERVICES;
    const routes = new Map(services.map(name => [`/${name}/`, name as string]));
    this.newest = new OperatorConfig(FIRST_VERSION, routes, 5_000);
  }

  /** Adds and removes routes, moves one, and changes the time-out. */
  next(): OperatorConfig {
    const {random} = this;
    const {version} = this.newest;
    const config = this.change(version + random.integerBetween(1, MAX_STEP));
    this.newest = config;
    return config;
  }

  /** Another configuration under a version. */
  change(version: number): OperatorConfig {
    const {random} = this;
    const routes = new Map(this.newest.routes);
    const removable = [...routes.keys()].filter(key => key.startsWith('/x'));
    const removed =
      removable.length > MAX_KEPT
        ? random.integerBetween(1, MAX_ADDED)
        : random.integerBelow(2);
    for (let n = 0; n < removed && removable.length > 0; n += 1) {
      const at = random.integerBelow(removable.length);
      routes.delete(removable.splice(at, 1)[0]!);
    }
    if (removable.length > 0) this.move(routes, removable);
    const added = random.integerBetween(1, MAX_ADDED);
    for (let n = 0; n < added; n += 1) {
      this.routeCount += 1;
      routes.set(`/x${this.routeCount}/`, this.pickService());
    }
    return new OperatorConfig(version, routes, random.integerBetween(4e3, 6e3));
  }

  private move(routes: Map<string, string>, prefixes: string[]): void {
    const prefix = prefixes[this.random.integerBelow(prefixes.length)]!;
    const [guarded, unguarded] = OperatorConfig.SERVICES;
    routes.set(prefix, routes.get(prefix) === guarded ? unguarded : guarded);
  }

  private pickService(): string {
    const services = OperatorConfig.SERVICES;
    return services[this.random.integerBelow(services.length)]!;
  }
}
