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

/** Returns the given replies in order. */
class ScriptedPeers extends PeerTransport {
  constructor(private readonly replies: Array<Result<unknown, PeerError>>) {
    super();
  }

  override send(): void {}

  override async request(): Promise<Result<unknown, PeerError>> {
    return this.replies.shift()!;
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

// Guards against reporting "not run" while the first copy of the request is still
// in flight and may be accepted later.
test('a refusal after a lost request is reported as outcome unknown', async () => {
  const outcome = await refusalAfter({kind: 'lost', detail: 'timeout'});
  assert.equal(outcome, 'outcome_unknown');
});

test('a refusal after an unsent request is reported as not run', async () => {
  const outcome = await refusalAfter({kind: 'unsent', detail: 'down'});
  assert.equal(outcome, 'not_run');
});
