import {assert} from 'chai';
import {RelayReply} from './relay_reply.js';

const RUN = {task: 'j.0.0.0', run: 3};
const STATUS = {
  clockMs: 1.5,
  bornAt: undefined,
  running: [RUN],
  ended: [{...RUN, number: 1, how: 'done'}],
  isPartial: false,
};

test('well-formed replies of relays are accepted', () => {
  assert.isTrue(RelayReply.isOrderReply({kind: 'ok', clockMs: 1}));
  assert.isTrue(RelayReply.isOrderReply({kind: 'refused', reason: 'late'}));
  assert.isTrue(RelayReply.isOrderReply({kind: 'lost', detail: ''}));
  assert.isTrue(RelayReply.isPollReply({kind: 'ok', look: STATUS}));
  assert.isTrue(RelayReply.isPollReply({kind: 'lost', detail: 'x'}));
  const refused = {kind: 'lost', detail: 'x', isRefused: true};
  assert.isTrue(RelayReply.isPollReply(refused));
});

// A malformed reply must count as lost, not throw later in the dispatcher.
test('each malformed field of a reply is noticed', () => {
  const looks = [
    undefined,
    null,
    {...STATUS, clockMs: '1'},
    {...STATUS, clockMs: Number.NaN},
    {...STATUS, bornAt: 'x'},
    {...STATUS, running: 'x'},
    {...STATUS, running: [null]},
    {...STATUS, running: [{task: 1, run: 1}]},
    {...STATUS, running: [{task: 'a', run: -1}]},
    {...STATUS, running: [{task: 'a', run: 1.5}]},
    {...STATUS, ended: {}},
    {...STATUS, ended: [RUN]},
    {...STATUS, ended: [{...RUN, number: 1, how: 'other'}]},
    {...STATUS, isPartial: 0},
  ];
  for (const look of looks) {
    assert.isFalse(RelayReply.isPollReply({kind: 'ok', look}));
  }
  const replies = [
    undefined,
    null,
    7,
    'ok',
    {},
    {kind: 'ok'},
    {kind: 'ok', clockMs: null},
    {kind: 'refused', reason: 'other'},
    {kind: 'lost'},
    {kind: 'lost', detail: '', isRefused: 1},
  ];
  for (const reply of replies) {
    assert.isFalse(RelayReply.isOrderReply(reply));
    assert.isFalse(RelayReply.isPollReply(reply));
  }
});
