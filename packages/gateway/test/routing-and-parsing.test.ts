import { expect, test } from 'vitest';
import { EventSplitter } from '../src/event-splitter';
import { HeaderCodec } from '../src/header-codec';
import { RouteTable } from '../src/route-table';
import { HEADER_NAMES, makeBundle, makeRoute } from './gateway-fixture';

const table = new RouteTable(
  makeBundle({
    routes: [
      makeRoute({ name: 'all', pathPrefix: '/' }),
      makeRoute({ name: 'deep', pathPrefix: '/a/b/' }),
      makeRoute({ name: 'mid', pathPrefix: '/a/' }),
      makeRoute({ name: 'other', host: 'other.test', pathPrefix: '/a/', isPublic: true }),
    ],
  }),
);

test.each([
  { host: 'shop.test', path: '/a/b/c', key: 'key-a', route: 'deep' },
  { host: 'SHOP.test:80', path: '/a/b/', key: 'key-a', route: 'deep' },
  { host: 'shop.test', path: '/a/b', key: 'key-a', route: 'mid' },
  { host: 'shop.test', path: '/ab/c', key: 'key-a', route: 'all' },
  { host: 'other.test', path: '/a/x', key: undefined, route: 'other' },
  { host: 'other.test', path: '/b/x', key: 'key-a', route: 'no-route' },
  { host: 'shop.test', path: '/a/b/c', key: 'key-z', route: 'unknown-key' },
  { host: 'shop.test', path: '/a/b/c', key: undefined, route: 'unknown-key' },
])('$host$path with key $key resolves to $route', ({ host, path, key, route }) => {
  const match = table.findRoute(host, path, key);
  expect(match.kind === 'matched' ? match.route.name : match.kind).toBe(route);
});

// Guards against an urgent request (such as a chat) that is preempted by a less urgent request (such as a plan) of the
// same team.
test('the rank depends on the team priority first, then on the route priority', () => {
  const [urgent, background] = [makeRoute({ priority: 0 }), makeRoute({ priority: 2 })];
  const ranks = new RouteTable(makeBundle({ routes: [urgent, background] }));
  const teams = [0, 1].map((priority) => ({ name: `team-${priority}`, keys: [], priority }));
  const order = teams.flatMap((team) =>
    [urgent, background].map((route) => ranks.computeRank(route, team)),
  );
  expect(order).toEqual([...order].sort((a, b) => a - b));
  expect(new Set(order).size).toBe(4);
});

const codec = new HeaderCodec(HEADER_NAMES);

test.each([
  { header: 'Bearer abc', key: 'abc' },
  { header: 'bearer abc', key: 'abc' },
  { header: 'Basic abc', key: undefined },
  { header: undefined, key: undefined },
])('the key of "$header" is $key', ({ header, key }) => {
  expect(codec.decodeRequest({ authorization: header }).teamKey).toBe(key);
});

test.each([
  { name: 'usage and parts', usage: '700,80', parts: 'aa:500,bb:200', tokens: 700, count: 2 },
  { name: 'parts only', usage: undefined, parts: 'aa:500,bb:200', tokens: 700, count: 2 },
  { name: 'a truncated list of parts', usage: '700,80', parts: 'aa:500,bb', tokens: 700, count: 1 },
  { name: 'no headers', usage: undefined, parts: undefined, tokens: 0, count: 0 },
  { name: 'invalid values', usage: 'x,y', parts: ':::', tokens: 0, count: 0 },
])('a prompt described by $name has $tokens tokens', ({ usage, parts, tokens, count }) => {
  const head = codec.decodeRequest({ 'test-tokens': usage, 'test-parts': parts });
  expect(head.promptTokens).toBe(tokens);
  expect(head.parts).toHaveLength(count);
});

test.each([
  { name: 'one chunk', chunks: ['id: 1\ndata: a\n\nid: 2\ndata: b\n\n'], ids: ['2'] },
  { name: 'two chunks', chunks: ['id: 1\nda', 'ta: a\n\n'], ids: [undefined, '1'] },
  {
    name: 'single-byte chunks',
    chunks: [...'id: 7\n\n'],
    ids: [undefined, undefined, undefined, undefined, undefined, undefined, '7'],
  },
  { name: 'lines that end with CRLF', chunks: ['id: 3\r\ndata: a\r\n\r\n'], ids: ['3'] },
  { name: 'an event without an id', chunks: ['data: a\n\n'], ids: [undefined] },
])('a stream of $name is split into events', ({ chunks, ids }) => {
  const splitter = new EventSplitter();
  const events = chunks.map((chunk) => splitter.readEvents(Buffer.from(chunk)));
  expect(events.map(({ lastEventId }) => lastEventId)).toEqual(ids);
  expect(Buffer.concat(events.map(({ bytes }) => bytes)).toString()).toBe(chunks.join(''));
  expect(splitter.hasPartialEvent()).toBe(false);
});

test('an incomplete event is held back', () => {
  const splitter = new EventSplitter();
  const { bytes } = splitter.readEvents(Buffer.from('id: 1\n\nid: 2\nda'));
  expect(bytes.toString()).toBe('id: 1\n\n');
  expect(splitter.hasPartialEvent()).toBe(true);
});
