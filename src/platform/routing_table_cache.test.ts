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

test('each document is decoded once, and the newest is in force', () => {
  let newest: PublishedDocument | undefined;
  const routing = new RoutingTableCache(
    () => newest,
    () => assert.fail('readable'),
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

test('a document that cannot be read is reported once and changes nothing', () => {
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
