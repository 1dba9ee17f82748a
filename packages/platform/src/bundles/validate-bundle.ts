import { JsonLocator, isValidBundle, parseJson } from '@pollendrum/protocol';
import type { Bundle, Finding, ParseResult } from '@pollendrum/protocol';

/** Sum of all floors may not pass this, in percent. */
export const MAX_FLOOR_SUM_PERCENT = 50;
/** Largest bundle text in bytes; with signatures it has to fit into one object of 1 MB. */
export const MAX_BUNDLE_BYTES = 1_000_000;

// Tolerates the rounding of sums such as 0.1 + 0.2.
const FLOOR_SUM_TOLERANCE_PERCENT = 1e-9;

type JsonObject = Record<string, unknown>;

/** An object in the bundle with its JSON pointer. */
interface PlacedItem {
  value: JsonObject;
  pointer: string;
}

/** A string in the bundle with its JSON pointer. */
interface PlacedName {
  name: string;
  pointer: string;
}

type AddFinding = (pointer: string, message: string) => void;

/**
 * Parses a bundle and checks it against the schema and the rules between its parts. All findings
 * are returned at once, each with JSON pointer, line and column.
 */
export function validateBundle(text: string, source?: string): ParseResult<Bundle> {
  const parsed = parseJson(text, isValidBundle, source);
  const value = parseLoosely(text);
  const places = new JsonLocator(text, source);
  const findings: Finding[] = parsed.ok ? [] : [...parsed.findings];
  const addFinding: AddFinding = (pointer, message) => {
    findings.push(places.createFinding(pointer, message));
  };
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > MAX_BUNDLE_BYTES) {
    addFinding('', `bundle has ${sizeBytes} bytes, at most ${MAX_BUNDLE_BYTES} are allowed`);
  }
  if (value !== undefined) checkBundle(value, addFinding);
  if (parsed.ok && findings.length === 0) return parsed;
  return { ok: false, findings };
}

// The rules are checked even when the schema is violated, so the value may have any shape.
function parseLoosely(text: string): JsonObject | undefined {
  try {
    return toObject(JSON.parse(text));
  } catch {
    return undefined;
  }
}

function checkBundle(bundle: JsonObject, addFinding: AddFinding): void {
  const classes = listItems(bundle, 'classes', '');
  const teams = listItems(bundle, 'teams', '');
  const models = listItems(bundle, 'models', '');
  const services = listItems(bundle, 'services', '');
  checkDuplicates('class', listNames(classes), addFinding);
  checkDuplicates('team', listNames(teams), addFinding);
  checkDuplicates('model', listNames(models), addFinding);
  checkDuplicates('service', listNames(services), addFinding);
  const keyHashes = teams.flatMap((team) => listStrings(team, 'keySha256'));
  checkDuplicates('key hash', keyHashes, addFinding);
  checkSharedNames(listNames(models), listNames(services), addFinding);
  checkFloors(classes, addFinding);
  checkReachability(classes, teams, addFinding);
  for (const serviceClass of classes) checkTimes(serviceClass, addFinding);
  for (const service of services) checkRoutes(service, addFinding);
}

function checkDuplicates(what: string, names: readonly PlacedName[], addFinding: AddFinding): void {
  const firstPointers = new Map<string, string>();
  for (const { name, pointer } of names) {
    const first = firstPointers.get(name);
    if (first === undefined) firstPointers.set(name, pointer);
    else addFinding(pointer, `duplicate ${what} ${name}, first used at ${first}`);
  }
}

function checkSharedNames(
  models: readonly PlacedName[],
  services: readonly PlacedName[],
  addFinding: AddFinding,
): void {
  const modelPointers = new Map(models.map(({ name, pointer }) => [name, pointer]));
  for (const { name, pointer } of services) {
    const model = modelPointers.get(name);
    if (model === undefined) continue;
    addFinding(pointer, `service ${name} has the same name as the model at ${model}`);
  }
}

function checkFloors(classes: readonly PlacedItem[], addFinding: AddFinding): void {
  const sum = classes.reduce((total, { value }) => total + (toNumber(value.floorPercent) ?? 0), 0);
  if (sum <= MAX_FLOOR_SUM_PERCENT + FLOOR_SUM_TOLERANCE_PERCENT) return;
  addFinding('/classes', `floors add up to ${sum}, at most ${MAX_FLOOR_SUM_PERCENT} are allowed`);
}

function checkReachability(
  classes: readonly PlacedItem[],
  teams: readonly PlacedItem[],
  addFinding: AddFinding,
): void {
  const classNames = listNames(classes);
  const known = new Set(classNames.map(({ name }) => name));
  const reachable = new Set<string>();
  for (const team of teams) {
    for (const { name, pointer } of listStrings(team, 'classes')) {
      reachable.add(name);
      if (!known.has(name)) addFinding(pointer, `unknown class ${name}`);
    }
  }
  for (const { name, pointer } of classNames) {
    if (!reachable.has(name)) addFinding(pointer, `no team may use class ${name}`);
  }
}

function checkTimes({ value, pointer }: PlacedItem, addFinding: AddFinding): void {
  const maxTotalMs = toNumber(value.maxTotalMs);
  if (maxTotalMs === undefined) return;
  for (const field of ['targetFirstByteMs', 'maxQueueMs']) {
    const timeMs = toNumber(value[field]);
    if (timeMs === undefined || timeMs <= maxTotalMs) continue;
    addFinding(`${pointer}/${field}`, `${timeMs} is larger than maxTotalMs ${maxTotalMs}`);
  }
}

function checkRoutes(service: PlacedItem, addFinding: AddFinding): void {
  const routes = listItems(service.value, 'routes', service.pointer);
  const names = routes.map(({ value, pointer }) => ({
    name: `${String(value.method)} ${String(value.pathPrefix)}`,
    pointer,
  }));
  checkDuplicates('route', names, addFinding);
}

function listItems(parent: JsonObject, field: string, parentPointer: string): PlacedItem[] {
  const items = parent[field];
  if (!Array.isArray(items)) return [];
  return items.flatMap((item: unknown, index) => {
    const value = toObject(item);
    return value === undefined ? [] : [{ value, pointer: `${parentPointer}/${field}/${index}` }];
  });
}

function listNames(items: readonly PlacedItem[]): PlacedName[] {
  return items.flatMap(({ value, pointer }) =>
    typeof value.name === 'string' ? [{ name: value.name, pointer: `${pointer}/name` }] : [],
  );
}

function listStrings(item: PlacedItem, field: string): PlacedName[] {
  const values = item.value[field];
  if (!Array.isArray(values)) return [];
  return values.flatMap((name: unknown, index) =>
    typeof name === 'string' ? [{ name, pointer: `${item.pointer}/${field}/${index}` }] : [],
  );
}

function toObject(value: unknown): JsonObject | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined;
  return value as JsonObject;
}

function toNumber(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}
