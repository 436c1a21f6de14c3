import {assert} from 'chai';
import type {PublishedDocument} from '../core/config/published_document.js';
import {RoutingTableCache} from './routing_table_cache.js';

function documentOf(revision: number, prefix: string): PublishedDocument {
  const route = {name: 'r', host: 'h', path_prefix: prefix, timeout_ms: 1_000};
  const content = {
    version: revision,
    routes: [{...route, backend: 's'}],
    backends: [{name: 's'}],
  };
  return {revision, content: JSON.stringify(content)};
}

test('a document is decoded once and a newer one replaces it', () => {
  let newest: PublishedDocument | undefined;
  const routing = new RoutingTableCache(
    () => newest,
    () => assert.fail('unexpected invalid document'),
  );
  assert.isUndefined(routing.get());
  newest = documentOf(1, '/a/');
  const first = routing.get();
  assert.isDefined(first?.find('h', '/a/1'));
  assert.strictEqual(routing.get(), first);
  newest = documentOf(2, '/b/');
  assert.isUndefined(routing.get()?.find('h', '/a/1'));
  assert.isDefined(routing.get()?.find('h', '/b/1'));
});

// Guards against losing the queues, or flooding the log, when a bad document is
// published.
test('an invalid document is reported once and the previous table is kept', () => {
  let newest = documentOf(1, '/a/');
  const reported: number[] = [];
  const routing = new RoutingTableCache(
    () => newest,
    revision => reported.push(revision),
  );
  const first = routing.get();
  newest = {revision: 2, content: '{"version":2}'};
  assert.strictEqual(routing.get(), first);
  assert.strictEqual(routing.get(), first);
  assert.deepEqual(reported, [2]);
});
