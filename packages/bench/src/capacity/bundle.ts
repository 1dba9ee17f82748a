import { createBundleEnvelope, validateBundle } from '@pollendrum/platform';
import { isValidBundle, parseJson } from '@pollendrum/protocol';
import type { Bundle } from '@pollendrum/protocol';
import { buildBundle } from './bundle-fixture';
import { measureHeapBytes, measureMedianMs } from './heap';
import { createFigure, type Figure, type Measurement } from './measurement';

const TEAM_COUNTS = [100, 1_000, 5_000, 22_000];
const REPEATS = 5;
const MEGABYTE = 1_000_000;

/** Size, time and memory of a bundle by the number of teams. */
export const bundle: Measurement = {
  description:
    'bundle text size, parse, validation and index by teams, one key and two limits each',
  run: () => Promise.resolve(TEAM_COUNTS.flatMap(measureTeams)),
};

function measureTeams(teamCount: number): Figure[] {
  const text = JSON.stringify(buildBundle(1, teamCount));
  // The first parse compiles code, which would count as memory of the bundle.
  parseBundle(text);
  const emptyBytes = measureHeapBytes();
  const kept = [parseBundle(text)];
  const parsedBytes = measureHeapBytes();
  const parseMs = measureMedianMs(REPEATS, () => parseBundle(text));
  const operatorMs = measureMedianMs(REPEATS, () => validateBundle(text));
  const result = validateBundle(text);
  const objectBytes = Buffer.byteLength(JSON.stringify(createBundleEnvelope(text)));
  const add = (name: string, value: number, unit: string) =>
    createFigure(`teams=${teamCount} ${name}`, value, unit);
  return [
    add('text', Buffer.byteLength(text) / MEGABYTE, 'MB'),
    add('object in the platform, without signatures', objectBytes / MEGABYTE, 'MB'),
    add('text a team', Buffer.byteLength(text) / teamCount, 'B'),
    add('parsed, validated and indexed in', parseMs, 'ms'),
    add('full validation by an operator', operatorMs, 'ms'),
    add('heap of the parsed bundle and its indexes', (parsedBytes - emptyBytes) / MEGABYTE, 'MB'),
    add('accepted by validation (1: yes)', result.ok && kept.length > 0 ? 1 : 0, ''),
  ];
}

/** What an instance does with the text: schema validation and the three indexes. */
function parseBundle(text: string) {
  const parsed = parseJson(text, isValidBundle);
  if (!parsed.ok) throw new Error('the measured bundle does not match its schema');
  return { bundle: parsed.value, ...indexBundle(parsed.value) };
}

function indexBundle({ classes, teams }: Bundle) {
  return {
    classesByName: new Map(classes.map((one) => [one.name, one])),
    teamsByName: new Map(teams.map((team) => [team.name, team])),
    teamsByKeySha256: new Map(
      teams.flatMap((team) => team.keySha256.map((hash) => [hash, team] as const)),
    ),
  };
}
