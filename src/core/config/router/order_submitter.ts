import type {RandomSource} from '../../random/random_source.js';
import {LogBootstrapper} from '../log/log_bootstrapper.js';
import type {ChangeRefusal} from '../state/change_refusal.js';
import type {EvacuationOrder} from '../state/evacuation_order.js';
import type {LogResponse} from './log_response.js';
import type {RequestRouter} from './request_router.js';

/** An order is answered within 5 s in every case; 1 s is left for the reply. */
const DEADLINE_MS = 4_000;

type Done = (result: LogResponse | ChangeRefusal) => void;

const NOT_WANTED: ChangeRefusal = {
  code: 'unavailable',
  outcome: 'not_made',
  detail: 'the caller of the order no longer waits',
};

interface Submission {
  readonly zone: string;
  readonly isEvacuated: boolean;
  readonly key: string;
  readonly deadline: number;
  readonly done: Done;
  readonly isWanted: () => boolean;
}

/**
 * Submits evacuation orders to the log's leader. The router sends a request
 * again when its response is late, and a copy may arrive after later orders have
 * been acknowledged. Each order therefore names the last order that the leader
 * had applied when it was given, and a copy that is older than the latest order
 * for the zone has no effect.
 */
export class OrderSubmitter {
  constructor(
    private readonly router: RequestRouter,
    private readonly random: RandomSource,
  ) {}

  /**
   * Calls `done` once; with `accepted` when the order is durable. An order that
   * waits for a leader is dropped when it is not wanted any more: its caller may
   * have given later orders at other nodes.
   */
  submit(
    request: Pick<EvacuationOrder, 'zone' | 'isEvacuated'>,
    now: number,
    done: Done,
    isWanted: () => boolean = () => true,
  ): void {
    const key = LogBootstrapper.newId(this.random);
    const deadline = now + DEADLINE_MS;
    this.read({...request, key, deadline, done, isWanted}, now);
  }

  private read(submission: Submission, now: number): void {
    const {deadline, done, isWanted} = submission;
    this.router.submit(
      {kind: 'read'},
      now,
      (res, at) => {
        if (!isWanted()) done(NOT_WANTED);
        else if ('kind' in res && res.kind === 'config') {
          this.send(submission, res.lastOrder, at);
        } else done(res);
      },
      deadline,
    );
  }

  private send(submission: Submission, after: number, now: number): void {
    const {zone, isEvacuated, key, deadline, done} = submission;
    const order = {zone, isEvacuated, key, after};
    this.router.submit(
      {kind: 'evacuation', order},
      now,
      (res, at) => {
        if (!('kind' in res) || res.kind !== 'refused') return done(res);
        // Two orders raced; this one takes effect after the other one.
        if (at < deadline) return this.read(submission, at);
        // Copies of this order are older than the other one as well.
        const {detail} = res.refusal;
        done({code: 'unavailable', outcome: 'not_made', detail});
      },
      deadline,
    );
  }
}
