import type { Bundle } from '@pollendrum/protocol';
import { expect, test } from 'vitest';
import { validateBundle } from '../src/index';
import { buildBundleText } from './operators';

type Change = (bundle: Bundle) => unknown;

function buildText(change: Change): string {
  const bundle = JSON.parse(buildBundleText(1)) as Bundle;
  change(bundle);
  return JSON.stringify(bundle, undefined, 2);
}

const repeatClass: Change = (b) => b.classes.push(b.classes[0]);
const addSlow: Change = (b) => b.classes.push({ ...b.classes[0], name: 'slow' });
const repeatTeam: Change = (b) => b.teams.push(...b.teams);
const addUnknownClass: Change = (b) => b.teams[0]?.classes.push('none');
const repeatModel: Change = (b) => b.models.push(...b.models);
const repeatService: Change = (b) => b.services.push(...b.services);
const shareName: Change = (b) => b.models.push({ name: 'ordering', pool: 'p' });
const setFloor40: Change = (b) => (b.classes[0].floorPercent = 40);
const raiseFloor: Change = (b) => (b.classes[0].floorPercent = 40.5);
const addSlowToTeam: Change = (b) => b.teams[0]?.classes.push('slow');
const raiseTarget: Change = (b) => (b.classes[0].targetFirstByteMs = 10_001);
const raiseQueue: Change = (b) => (b.classes[0].maxQueueMs = 10_001);
const repeatRoute: Change = (b) => b.services[0]?.routes.push(b.services[0].routes[0]);
const breakTier: Change = (b) => (b.classes[0].tier = -1);

// Guards against accepting inconsistent bundles, which would fail only once they are active.
test.each<[string, Change[], string[]]>([
  ['a valid bundle', [], []],
  ['a duplicate class', [repeatClass], ['/classes/1/name']],
  ['an unreachable class', [addSlow], ['/classes/1/name']],
  ['a duplicate team and key', [repeatTeam], ['/teams/1/name', '/teams/1/keySha256/0']],
  ['an unknown class', [addUnknownClass], ['/teams/0/classes/1']],
  ['a duplicate model', [repeatModel], ['/models/1/name']],
  ['a duplicate service', [repeatService], ['/services/1/name']],
  ['a model and a service with the same name', [shareName], ['/services/0/name']],
  ['floors that add up to 50', [addSlow, addSlowToTeam, setFloor40], []],
  ['floors that add up to more than 50', [addSlow, addSlowToTeam, raiseFloor], ['/classes']],
  ['a targetFirstByteMs over maxTotalMs', [raiseTarget], ['/classes/0/targetFirstByteMs']],
  ['a maxQueueMs over maxTotalMs', [raiseQueue], ['/classes/0/maxQueueMs']],
  ['a duplicate route', [repeatRoute], ['/services/0/routes/1']],
  ['schema and cross-field rules', [breakTier, repeatModel], ['/classes/0/tier', '/models/1/name']],
])('finds all problems of %s', (_name, changes, pointers) => {
  const text = buildText((b) => {
    for (const change of changes) change(b);
  });
  const result = validateBundle(text, 'bundle.json');
  const findings = result.ok ? [] : result.findings;
  expect(findings.map(({ pointer }) => pointer)).toEqual(pointers);
  for (const { source, line, column } of findings) {
    expect([source, typeof line, typeof column]).toEqual(['bundle.json', 'number', 'number']);
  }
});

test('reports line and column of a finding', () => {
  const text = buildText(repeatModel);
  const line = text.split('\n').findLastIndex((l) => l.includes('"name": "small"')) + 1;
  const result = validateBundle(text);
  expect(result).toMatchObject({ ok: false, findings: [{ line, column: 15 }] });
});

test.each(['', '[]', '{', '{"classes": [null, 5], "teams": {}}'])('rejects %j', (text) => {
  expect(validateBundle(text).ok).toBe(false);
});
