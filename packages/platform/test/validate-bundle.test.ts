import type { Bundle } from '@pollendrum/protocol';
import { expect, test } from 'vitest';
import { validateBundle } from '../src/index';
import { buildBundleText } from './operators';

type Change = (bundle: Bundle) => void;

function buildText(change: Change): string {
  const bundle = JSON.parse(buildBundleText(1)) as Bundle;
  change(bundle);
  return JSON.stringify(bundle, undefined, 2);
}

function addClass(bundle: Bundle, fields: Partial<Bundle['classes'][0]>): void {
  bundle.classes.push({ ...bundle.classes[0], ...fields });
}

// Guards against bundles that contradict themselves and fail only once they are in force.
test.each<{ name: string; change: Change; pointers: string[] }>([
  { name: 'a valid bundle', change: () => undefined, pointers: [] },
  {
    name: 'a duplicate class',
    change: (b) => {
      addClass(b, {});
    },
    pointers: ['/classes/1/name'],
  },
  {
    name: 'an unreachable class',
    change: (b) => {
      addClass(b, { name: 'slow' });
    },
    pointers: ['/classes/1/name'],
  },
  {
    name: 'a duplicate team and key',
    change: (b) => {
      b.teams.push(...b.teams);
    },
    pointers: ['/teams/1/name', '/teams/1/keySha256/0'],
  },
  {
    name: 'an unknown class',
    change: (b) => {
      b.teams[0]?.classes.push('none');
    },
    pointers: ['/teams/0/classes/1'],
  },
  {
    name: 'a duplicate model',
    change: (b) => {
      b.models.push(...b.models);
    },
    pointers: ['/models/1/name'],
  },
  {
    name: 'a duplicate service',
    change: (b) => {
      b.services.push(...b.services);
    },
    pointers: ['/services/1/name'],
  },
  {
    name: 'a shared name',
    change: (b) => {
      b.models.push({ name: 'ordering', pool: 'p' });
    },
    pointers: ['/services/0/name'],
  },
  {
    name: 'floors over 50',
    change: (b) => {
      b.classes[0].floorPercent = 30;
      addClass(b, { name: 'slow' });
      b.teams[0]?.classes.push('slow');
    },
    pointers: ['/classes'],
  },
  {
    name: 'a target over the total',
    change: (b) => {
      b.classes[0].targetFirstByteMs = 10_001;
    },
    pointers: ['/classes/0/targetFirstByteMs'],
  },
  {
    name: 'a queue over the total',
    change: (b) => {
      b.classes[0].maxQueueMs = 10_001;
    },
    pointers: ['/classes/0/maxQueueMs'],
  },
  {
    name: 'a duplicate route',
    change: (b) => {
      b.services[0]?.routes.push({ method: 'POST', pathPrefix: '/orders', isIdempotent: true });
    },
    pointers: ['/services/0/routes/1'],
  },
  {
    name: 'schema and rules together',
    change: (b) => {
      b.classes[0].tier = -1;
      b.models.push(...b.models);
      b.teams[0]?.classes.push('none');
    },
    pointers: ['/classes/0/tier', '/models/1/name', '/teams/0/classes/1'],
  },
])('finds all problems of $name', ({ change, pointers }) => {
  const result = validateBundle(buildText(change), 'bundle.json');
  const findings = result.ok ? [] : result.findings;
  expect(findings.map(({ pointer }) => pointer)).toEqual(pointers);
  for (const finding of findings) {
    expect(finding).toMatchObject({ source: 'bundle.json', line: expect.any(Number) as number });
    expect(finding.column).toBeGreaterThan(0);
  }
});

test('names line and column', () => {
  const text = buildText((b) => b.models.push(...b.models));
  const line = text.split('\n').findLastIndex((l) => l.includes('"name": "small"')) + 1;
  const result = validateBundle(text);
  expect(result).toMatchObject({ ok: false, findings: [{ line, column: 15 }] });
});

test.each(['', '[]', '{', '{"classes": [null, 5], "teams": {}}'])('refuses %j', (text) => {
  expect(validateBundle(text).ok).toBe(false);
});
