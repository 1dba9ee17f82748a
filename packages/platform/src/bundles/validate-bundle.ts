import { JsonLocator, isValidBundle, parseJson } from '@pollendrum/protocol';
import type { Bundle, Finding, ParseResult } from '@pollendrum/protocol';

/** Maximum sum of the floors of all classes, in percent. */
export const MAX_FLOOR_SUM_PERCENT = 50;
/** Maximum size of a bundle text in bytes; with its signatures it has to fit into one object of 1 MB. */
export const MAX_BUNDLE_BYTES = 1_000_000;

// Allows for floating-point rounding in sums such as 0.1 + 0.2.
const FLOOR_SUM_TOLERANCE_PERCENT = 1e-9;

type JsonObject = Record<string, unknown>;

/** An object in the bundle and its JSON pointer. */
interface LocatedItem {
  value: JsonObject;
  pointer: string;
}

/** A string in the bundle and its JSON pointer. */
interface LocatedName {
  name: string;
  pointer: string;
}

type AddFinding = (pointer: string, message: string) => void;

/**
 * Parses a bundle and validates it against the schema and the cross-field rules. Returns all
 * findings at once, each with JSON pointer, line and column.
 */
export function validateBundle(text: string, source?: string): ParseResult<Bundle> {
  const parsed = parseJson(text, isValidBundle, source);
  const value = parseWithoutSchema(text);
  const locator = new JsonLocator(text, source);
  const findings: Finding[] = parsed.ok ? [] : [...parsed.findings];
  const addFinding: AddFinding = (pointer, message) => {
    findings.push(locator.createFinding(pointer, message));
  };
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > MAX_BUNDLE_BYTES) {
    addFinding('', `bundle has ${sizeBytes} bytes, at most ${MAX_BUNDLE_BYTES} are allowed`);
  }
  if (value !== undefined) checkBundle(value, addFinding);
  if (parsed.ok && findings.length === 0) return parsed;
  return { ok: false, findings };
}

// The cross-field rules are checked even if schema validation fails, so the value may have any shape.
function parseWithoutSchema(text: string): JsonObject | undefined {
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
  checkNameCollisions(listNames(models), listNames(services), addFinding);
  checkFloors(classes, addFinding);
  checkReachability(classes, teams, addFinding);
  for (const serviceClass of classes) checkTimeLimits(serviceClass, addFinding);
  for (const service of services) checkRoutes(service, addFinding);
}

function checkDuplicates(
  itemKind: string,
  names: readonly LocatedName[],
  addFinding: AddFinding,
): void {
  const firstPointers = new Map<string, string>();
  for (const { name, pointer } of names) {
    const first = firstPointers.get(name);
    if (first === undefined) firstPointers.set(name, pointer);
    else addFinding(pointer, `duplicate ${itemKind} ${name}, first used at ${first}`);
  }
}

function checkNameCollisions(
  models: readonly LocatedName[],
  services: readonly LocatedName[],
  addFinding: AddFinding,
): void {
  const modelPointers = new Map(models.map(({ name, pointer }) => [name, pointer]));
  for (const { name, pointer } of services) {
    const model = modelPointers.get(name);
    if (model === undefined) continue;
    addFinding(pointer, `service ${name} has the same name as the model at ${model}`);
  }
}

function checkFloors(classes: readonly LocatedItem[], addFinding: AddFinding): void {
  const sum = classes.reduce((total, { value }) => total + (toNumber(value.floorPercent) ?? 0), 0);
  if (sum <= MAX_FLOOR_SUM_PERCENT + FLOOR_SUM_TOLERANCE_PERCENT) return;
  addFinding('/classes', `floors add up to ${sum}, at most ${MAX_FLOOR_SUM_PERCENT} are allowed`);
}

function checkReachability(
  classes: readonly LocatedItem[],
  teams: readonly LocatedItem[],
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

function checkTimeLimits({ value, pointer }: LocatedItem, addFinding: AddFinding): void {
  const maxTotalMs = toNumber(value.maxTotalMs);
  if (maxTotalMs === undefined) return;
  for (const field of ['targetFirstByteMs', 'maxQueueMs']) {
    const timeMs = toNumber(value[field]);
    if (timeMs === undefined || timeMs <= maxTotalMs) continue;
    addFinding(`${pointer}/${field}`, `${timeMs} is larger than maxTotalMs ${maxTotalMs}`);
  }
}

function checkRoutes(service: LocatedItem, addFinding: AddFinding): void {
  const routes = listItems(service.value, 'routes', service.pointer);
  const names = routes.map(({ value, pointer }) => ({
    name: `${String(value.method)} ${String(value.pathPrefix)}`,
    pointer,
  }));
  checkDuplicates('route', names, addFinding);
}

function listItems(parent: JsonObject, field: string, parentPointer: string): LocatedItem[] {
  const items = parent[field];
  if (!Array.isArray(items)) return [];
  return items.flatMap((item: unknown, index) => {
    const value = toObject(item);
    return value === undefined ? [] : [{ value, pointer: `${parentPointer}/${field}/${index}` }];
  });
}

function listNames(items: readonly LocatedItem[]): LocatedName[] {
  return items.flatMap(({ value, pointer }) =>
    typeof value.name === 'string' ? [{ name: value.name, pointer: `${pointer}/name` }] : [],
  );
}

function listStrings(item: LocatedItem, field: string): LocatedName[] {
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
