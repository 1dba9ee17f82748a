import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { expect, test } from 'vitest';

const ROOT = join(import.meta.dirname, '../../..');
const IMPORT = /from '(\.[^']*)'/g;

function listSources(): string[] {
  const folders = [
    ...readdirSync(join(ROOT, 'packages')).map((name) => `packages/${name}`),
    'platform',
  ];
  return folders.flatMap((folder) =>
    readdirSync(join(ROOT, folder, 'src'), { recursive: true, encoding: 'utf8' })
      .filter((name) => name.endsWith('.ts'))
      .map((name) => join(ROOT, folder, 'src', name)),
  );
}

function resolveImport(from: string, target: string, sources: ReadonlySet<string>) {
  const base = join(dirname(from), target);
  return [`${base}.ts`, join(base, 'index.ts')].find((file) => sources.has(file));
}

/** The first circle of imports on the way from a file, undefined when there is none. */
function findCycle(
  graph: ReadonlyMap<string, readonly string[]>,
  file: string,
  path: readonly string[],
  done: Set<string>,
): string[] | undefined {
  const start = path.indexOf(file);
  if (start >= 0) return path.slice(start);
  if (done.has(file)) return undefined;
  for (const next of graph.get(file) ?? []) {
    const cycle = findCycle(graph, next, [...path, file], done);
    if (cycle !== undefined) return cycle;
  }
  done.add(file);
  return undefined;
}

// Guards against files that need each other, types included: neither can be read or moved alone.
test('no files import each other in a circle', () => {
  const sources = new Set(listSources());
  const graph = new Map(
    [...sources].map((file) => {
      const targets = [...readFileSync(file, 'utf8').matchAll(IMPORT)].map(
        (match) => match[1] ?? '',
      );
      const files = targets.map((target) => resolveImport(file, target, sources));
      return [file, files.filter((target) => target !== undefined)] as const;
    }),
  );
  const done = new Set<string>();
  const cycles = [...graph.keys()].flatMap((file) => findCycle(graph, file, [], done) ?? []);
  expect(cycles.map((file) => relative(ROOT, file))).toEqual([]);
});
