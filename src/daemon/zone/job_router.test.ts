import {assert} from 'chai';
import {Result} from 'true-myth';
import type {PeerError} from '../../core/peer/peer_error.js';
import {PeerTransport} from '../../core/peer/peer_transport.js';
import {JobKey} from '../../core/job/job_key.js';
import {SystemClock} from '../../adapter/system_clock.js';
import {JobRouter} from './job_router.js';
import {ZoneDirectory} from './zone_directory.js';

const KEY = 'arbat~018bcfe5-73be-77f0-8404-050101000000';
const REFUSAL = {
  kind: 'refusal',
  refusal: {code: 'overloaded', outcome: 'not_run', detail: 'full'},
};

/** Answers the requests in turn. */
class ScriptedPeers extends PeerTransport {
  constructor(private readonly answers: Array<Result<unknown, PeerError>>) {
    super();
  }

  override send(): void {}

  override async request(): Promise<Result<unknown, PeerError>> {
    return this.answers.shift()!;
  }
}

async function refusalAfter(first: PeerError): Promise<string | undefined> {
  const peers = new ScriptedPeers([Result.err(first), Result.ok(REFUSAL)]);
  const directory = new ZoneDirectory([{id: 'a1', zone: 'arbat'}]);
  const router = new JobRouter(directory, peers, new SystemClock());
  const key = JobKey.parse(KEY).unwrapOrElse(err => {
    throw new Error(err);
  });
  const result = await router.route(key, {kind: 'fetch', key: KEY, waitMs: 0});
  return result.isErr ? result.error.outcome : undefined;
}

// Guards against "not run" about a request whose first copy is still on its
// way and may be accepted later.
test('a refusal after a lost copy does not say not run', async () => {
  const outcome = await refusalAfter({kind: 'lost', detail: 'silent'});
  assert.equal(outcome, 'outcome_unknown');
});

test('a refusal after an unsent copy says not run', async () => {
  const outcome = await refusalAfter({kind: 'unsent', detail: 'down'});
  assert.equal(outcome, 'not_run');
});
