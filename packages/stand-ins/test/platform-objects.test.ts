import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import { createPlatform, MAX_OBJECT_BYTES } from '../src/index';
import type { PlatformStandIn } from '../src/index';
import { makeUrl, sendCall } from './support';

let platform: PlatformStandIn;
beforeAll(async () => {
  platform = await createPlatform();
});
afterAll(async () => {
  await platform[Symbol.asyncDispose]();
});

const ABSENT = { 'If-None-Match': '*' };

describe('conditional writes', () => {
  // Guards against lost updates: a write under an old or missing version must not take effect.
  test.each([
    ['create', 'PUT', ABSENT, 0, 201, '"1"'],
    ['create over an object', 'PUT', ABSENT, 1, 412, '"1"'],
    ['update', 'PUT', { 'If-Match': '"1"' }, 1, 200, '"2"'],
    ['update under an old version', 'PUT', { 'If-Match': '"1"' }, 2, 412, '"2"'],
    ['update of an absent object', 'PUT', { 'If-Match': '"1"' }, 0, 412, null],
    ['update without a condition', 'PUT', {}, 1, 428, null],
    ['update under a malformed version', 'PUT', { 'If-Match': '1' }, 1, 400, null],
    ['deletion', 'DELETE', { 'If-Match': '"1"' }, 1, 204, null],
    ['deletion under an old version', 'DELETE', { 'If-Match': '"1"' }, 2, 412, '"2"'],
    ['deletion of an absent object', 'DELETE', { 'If-Match': '"1"' }, 0, 404, null],
  ] as const)('%s', async (name, method, headers, existing, status, etag) => {
    const path = `/objects/cases/${name.replaceAll(' ', '-')}`;
    for (let version = 0; version < existing; version += 1) {
      const condition = version === 0 ? ABSENT : { 'If-Match': `"${version.toString()}"` };
      await sendCall(platform, 'PUT', path, { version }, condition);
    }
    const response = await sendCall(platform, method, path, 'new', { ...headers });
    expect([response.status, response.headers.get('etag')]).toEqual([status, etag]);
  });

  // Guards against a version that occurs twice, which would let an old writer overwrite a new object.
  test('after a deletion continue the versions', async () => {
    const path = '/objects/again';
    await sendCall(platform, 'PUT', path, 1, ABSENT);
    await sendCall(platform, 'DELETE', path, undefined, { 'If-Match': '"1"' });
    expect((await sendCall(platform, 'GET', path)).status).toBe(404);
    const response = await sendCall(platform, 'PUT', path, 2, ABSENT);
    expect(response.headers.get('etag')).toBe('"3"');
  });

  // Guards against two racing writers that both believe they won.
  test('let one of ten racing writers win', async () => {
    const writers = Array.from({ length: 10 }, (_, index) =>
      sendCall(platform, 'PUT', '/objects/race', index, ABSENT),
    );
    const statuses = (await Promise.all(writers)).map((response) => response.status);
    expect(statuses.sort()).toEqual([201, ...Array<number>(9).fill(412)]);
  });
});

describe('objects', () => {
  // Guards against a limit that is off by one and against a truncated value.
  test.each([
    [MAX_OBJECT_BYTES, 201],
    [MAX_OBJECT_BYTES + 1, 413],
  ])('of %i bytes are answered with %i', async (size, status) => {
    const url = makeUrl(platform, `/objects/size/${size.toString()}`);
    const body = Buffer.alloc(size, 'x');
    const response = await fetch(url, { method: 'PUT', body, headers: ABSENT });
    expect(response.status).toBe(status);
    if (status === 201) expect((await (await fetch(url)).arrayBuffer()).byteLength).toBe(size);
  });

  // Guards against keys outside the prefix and against deleted keys in a listing.
  test('are listed by prefix in key order', async () => {
    for (const key of ['list/b', 'list/a', 'listed/c', 'list/gone']) {
      await sendCall(platform, 'PUT', `/objects/${key}`, key, ABSENT);
    }
    await sendCall(platform, 'DELETE', '/objects/list/gone', undefined, { 'If-Match': '"1"' });
    const response = await sendCall(platform, 'GET', '/objects?prefix=list%2F');
    const objects = [
      { key: 'list/a', version: 1 },
      { key: 'list/b', version: 1 },
    ];
    expect(await response.json()).toEqual({ objects });
  });
});
