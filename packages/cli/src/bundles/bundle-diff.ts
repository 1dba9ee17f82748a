import type { Bundle } from '@pollendrum/protocol';
import createDiff from 'microdiff';

/** One difference between two bundles. */
export interface BundleChange {
  kind: 'added' | 'removed' | 'changed';
  /** JSON pointer; entries of lists are named, for example `/teams/sample/weight`. */
  pointer: string;
  before?: unknown;
  after?: unknown;
}

/** Compares two bundles; entries of lists are matched by name, so that reordering is no change. */
export function diffBundles(before: Bundle, after: Bundle): BundleChange[] {
  const changes = createDiff(indexByName(before), indexByName(after));
  return changes.map((change) => {
    const pointer = `/${change.path.join('/')}`;
    switch (change.type) {
      case 'CREATE':
        return { kind: 'added', pointer, after: change.value as unknown };
      case 'REMOVE':
        return { kind: 'removed', pointer, before: change.oldValue as unknown };
      case 'CHANGE':
        return {
          kind: 'changed',
          pointer,
          before: change.oldValue as unknown,
          after: change.value as unknown,
        };
    }
  });
}

function indexByName(bundle: Bundle): Record<string, unknown> {
  const { number, description, classes, teams, models, services } = bundle;
  return {
    number,
    description,
    classes: collectByName(classes),
    teams: collectByName(teams),
    models: collectByName(models),
    services: collectByName(services),
  };
}

function collectByName<T extends { name: string }>(items: readonly T[]): Record<string, T> {
  return Object.fromEntries(items.map((item) => [item.name, item]));
}

/** Formats a change as one line. */
export function formatChange(change: BundleChange): string {
  switch (change.kind) {
    case 'added':
      return `+ ${change.pointer} ${JSON.stringify(change.after)}`;
    case 'removed':
      return `- ${change.pointer} ${JSON.stringify(change.before)}`;
    case 'changed':
      return `~ ${change.pointer} ${JSON.stringify(change.before)} -> ${JSON.stringify(change.after)}`;
  }
}
