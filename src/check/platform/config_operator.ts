import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {Clock} from '../../core/clock/clock.js';
import type {ConfigStream} from './config_stream.js';
import {InvalidBody} from './invalid_body.js';
import type {OperatorConfig} from './operator_config.js';
import type {OperatorHistory} from './operator_history.js';
import {sendText} from './send_text.js';

type Sent = OperatorHistory['sent'][number];

/** Callers move on to another node after this time. */
const ATTEMPT_MS = 1_000;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;
const MAX_ATTEMPTS = 40;
/** Replies that end a call of the operator immediately. */
const FINAL: readonly number[] = [400, 409, 412, 413, 422];
const STORM_GAP_MS = 300;
const STORM_LENGTH = 8;
const MIN_GAP_MS = 100;
const MAX_GAP_MS = 1_500;
/** Share of acknowledgements that are lost on their way. */
const LOST_SHARE = 0.1;
/** What the operator does next; each is as likely as the number of its entries. */
const ACTIONS = [
  ...['change', 'change', 'change', 'change', 'change', 'storm'],
  ...['race', 'equalRace', 'resend', 'resendOlder', 'otherContent'],
  ...['invalid', 'invalid'],
] as const;

type Action = (typeof ACTIONS)[number];

interface OperatorOptions {
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly stream: ConfigStream;
  readonly history: OperatorHistory;
  /** Addresses of the nodes that serve the operator. */
  readonly controls: () => readonly string[];
  /** Called in the turn in which an acknowledgement arrives. */
  readonly onAcknowledged: (control: string, version: number) => void;
  readonly log: (text: string) => void;
}

/** Publishes configurations, with the retries of a caller of the control API. */
export class ConfigOperator {
  private isStopped = false;

  constructor(private readonly opts: OperatorOptions) {}

  async run(): Promise<void> {
    const {random} = this.opts;
    while (!this.isStopped) {
      await this.act(ACTIONS[random.integerBelow(ACTIONS.length)]!);
      await this.sleep(random.integerBetween(MIN_GAP_MS, MAX_GAP_MS));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Publishes the next configuration until it is acknowledged. */
  async change(): Promise<void> {
    await this.publish(this.opts.stream.next());
  }

  private async act(action: Action): Promise<void> {
    const {random, history, stream} = this.opts;
    const acknowledged = history.sent.filter(({ackedAt}) => isFinite(ackedAt));
    const newest = acknowledged.at(-1);
    switch (action) {
      case 'change':
        return this.change();
      case 'storm': {
        const changes: Array<Promise<void>> = [];
        for (let n = 0; n < STORM_LENGTH && !this.isStopped; n += 1) {
          changes.push(this.change());
          await this.sleep(STORM_GAP_MS);
        }
        await Promise.all(changes);
        return;
      }
      case 'race':
        await Promise.all([this.change(), this.change()]);
        return;
      case 'equalRace': {
        const config = stream.next();
        const other = stream.change(config.version);
        await Promise.all([this.publish(config), this.publish(other)]);
        return;
      }
      case 'resend':
        if (newest) await this.resend(newest, newest.config);
        return;
      case 'resendOlder': {
        const older = acknowledged[random.integerBelow(acknowledged.length)];
        if (older) await this.resend(older, older.config);
        return;
      }
      case 'otherContent':
        if (!newest) return;
        return this.resend(newest, stream.change(newest.config.version));
      case 'invalid': {
        const kinds = Object.keys(InvalidBody);
        return this.sendInvalid(kinds[random.integerBelow(kinds.length)]!);
      }
    }
  }

  private async publish(config: OperatorConfig): Promise<void> {
    const {history, clock, log} = this.opts;
    const {version} = config;
    const body = JSON.stringify(config.toBody());
    const sent = history.add(config, clock.now());
    const status = await this.send(body, `put ${version}`, sent);
    if (status !== undefined && status !== 200) {
      history.report(`REFUSED: ${version} with ${status}`, clock.now());
    }
    if (status === undefined) log(`put ${version}: no clear reply`);
  }

  /** Sends an acknowledged version again, unchanged or with other content. */
  private async resend(sent: Sent, config: OperatorConfig): Promise<void> {
    const {history, clock} = this.opts;
    const {version} = sent.config;
    const body = JSON.stringify(config.toBody());
    const status = await this.send(body, `put again ${version}`);
    if (status === undefined || status === 200) return;
    const what = config === sent.config ? 'sent again' : 'with other content';
    history.report(`REFUSED: ${version} ${what}: ${status}`, clock.now());
  }

  private async sendInvalid(kind: string): Promise<void> {
    const {stream, history, clock} = this.opts;
    // A version of its own, so that it would take effect if it were taken.
    const config = stream.next();
    const body = InvalidBody[kind]!(config.toBody());
    const sentAt = clock.now();
    history.addInvalid(config.version, body);
    const status = await this.send(body, `put ${config.version}, ${kind}`);
    if (status !== 200) return;
    const {invalidAcknowledged: counts} = history;
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
    // It may be in force from now on, which is no further violation.
    history.acknowledge(history.add(config, sentAt), clock.now());
  }

  /** Sends a body until the reply is clear; undefined if none was. */
  private async send(
    body: string,
    text: string,
    sent?: Sent,
  ): Promise<number | undefined> {
    const {random, clock, controls, history, log} = this.opts;
    let control = this.pick(controls());
    let backoffMs = FIRST_BACKOFF_MS;
    for (let n = 0; n < MAX_ATTEMPTS && !this.isStopped; n += 1) {
      const reply = await sendText({
        ...{method: 'POST', url: `http://${control}/Config.Put`, body},
        timeoutMs: ATTEMPT_MS,
      });
      const isLost = random.next() < LOST_SHARE;
      const status = isLost ? undefined : reply?.status;
      const now = clock.now();
      if (status === 200) {
        if (sent) {
          history.acknowledge(sent, now);
          this.opts.onAcknowledged(control, sent.config.version);
        }
        log(`${text} at ${control}: 200`);
        return status;
      }
      log(`${text} at ${control}: ${isLost ? 'lost' : (status ?? 'failed')}`);
      if (status !== undefined && FINAL.includes(status)) return status;
      const others = controls().filter(each => each !== control);
      control = this.pick(others);
      await this.sleep(backoffMs);
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }
    return undefined;
  }

  private pick(values: readonly string[]): string {
    return values[this.opts.random.integerBelow(values.length)]!;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => void this.opts.clock.schedule(ms, resolve));
  }
}
