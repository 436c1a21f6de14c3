import {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {ClassConfig} from '../../core/config/class_config.js';
import type {Config} from '../../core/config/config.js';
import {ChangeHistory} from '../config/change_history.js';
import {OrderHistory} from '../config/order_history.js';
import type {HttpReply} from './http_reply.js';
import type {OpenRequests} from './open_requests.js';

const CHANGE_INTERVAL_MS = 400;
const POLL_INTERVAL_MS = 100;
/** Bounds the time for which a suspended daemon delays polls of the others. */
const READ_TIMEOUT_MS = 1_000;

interface ClientOptions {
  readonly cluster: LocalCluster;
  readonly random: SeededRandom;
  readonly requests: OpenRequests;
}

/** Changes the configuration and polls the version in force on each daemon. */
export class ConfigClient {
  readonly history = new ChangeHistory(new OrderHistory());
  accepted = 0;
  private isStopped = false;
  private changeCount = 0;

  constructor(private readonly opts: ClientOptions) {}

  async run(): Promise<void> {
    const nodes = [...this.opts.cluster.nodes.keys()];
    await Promise.all([
      this.repeat(CHANGE_INTERVAL_MS, () => this.putRandomClass()),
      ...nodes.map(id => this.repeat(POLL_INTERVAL_MS, () => this.poll(id))),
    ]);
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Adds or replaces a class; undefined unless an answer accepts it. */
  async put(value: ClassConfig, node: string): Promise<number | undefined> {
    const config = await this.poll(node);
    if (!config) return undefined;
    const {name} = value;
    const {history} = this;
    const record = history.recordSend(name, config.version, Date.now());
    // After a lost answer, a retry must get the outcome of the first request.
    const reply =
      (await this.sendChange(node, value, config.version)) ??
      (await this.sendChange(node, value, config.version));
    if (!reply) {
      history.recordUnavailable(record, true);
    } else if (reply.status === 200) {
      const version = Number(reply.body['version']);
      history.recordAccepted(record, version, Date.now());
      this.accepted += 1;
      return version;
    } else if (reply.status === 412) {
      history.recordRefused(record, 'conflict', Date.now());
    } else {
      history.recordUnavailable(record, true);
    }
    return undefined;
  }

  /** Whether every accepted change is in force on each daemon. */
  async isEverywhereInForce(): Promise<boolean> {
    for (const id of this.opts.cluster.nodes.keys()) {
      const config = await this.poll(id);
      if (!config || config.version < this.history.floor) return false;
      for (const {key, accepted} of this.history.changes.values()) {
        if (accepted === undefined || config.classes[key]) continue;
        this.history.report(
          `${id}: class ${key} is missing, although accepted as version ${accepted}`,
        );
      }
    }
    return true;
  }

  private async repeat(
    intervalMs: number,
    action: () => Promise<unknown>,
  ): Promise<void> {
    while (!this.isStopped) {
      await action();
      await new Promise(resolve => setTimeout(resolve, intervalMs));
    }
  }

  private async putRandomClass(): Promise<void> {
    const {random, cluster} = this.opts;
    const nodes = [...cluster.nodes.keys()];
    this.changeCount += 1;
    const value = {
      name: `change-${this.changeCount}`,
      target_ms: random.integerBetween(100, 5_000),
      percentile: 99,
      repeatable: false,
      memory_mb: 0,
      accelerators: 0,
    };
    await this.put(value, nodes[random.integerBelow(nodes.length)]!);
  }

  private async poll(id: string): Promise<Config | undefined> {
    const node = this.opts.cluster.node(id);
    const child = node.process;
    const reply = await this.opts.requests.send({
      node: id,
      method: 'GET',
      url: `${node.admin}/v1/classes`,
      headers: authorization(),
      timeoutMs: READ_TIMEOUT_MS,
    });
    // The previous process may have had a newer version than the new one has.
    if (reply?.status !== 200 || node.process !== child) return undefined;
    const classes = reply.body['classes'] as readonly ClassConfig[];
    const config = {
      version: Number(reply.body['version']),
      classes: Object.fromEntries(classes.map(entry => [entry.name, entry])),
      tenants: {},
    };
    // A daemon has no configuration before it has received one from the log.
    if (config.version === 0) return undefined;
    this.history.recordApplied(id, config);
    return config;
  }

  private sendChange(
    id: string,
    {name, ...value}: ClassConfig,
    version: number,
  ): Promise<HttpReply | undefined> {
    return this.opts.requests.send({
      node: id,
      method: 'PUT',
      url: `${this.opts.cluster.node(id).admin}/v1/classes/${name}`,
      headers: {
        ...authorization(),
        'if-match': `"${version}"`,
        'idempotency-key': name,
      },
      body: value,
    });
  }
}

function authorization(): Record<string, string> {
  return {authorization: `Bearer ${LocalCluster.ADMIN_TOKEN}`};
}
