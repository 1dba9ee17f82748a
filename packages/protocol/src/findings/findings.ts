import type { ErrorObject } from 'ajv';
import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import type { Finding } from '../generated/types';
import type { Validator } from '../generated/validators';

/** Result of parsing and validating JSON: the value, or all findings. */
export type ParseResult<T> = { ok: true; value: T } | { ok: false; findings: Finding[] };

/** Error that carries all findings about its subject, such as a settings file. */
export class FindingsError extends Error {
  override readonly name = 'FindingsError';

  constructor(
    readonly subject: string,
    readonly findings: readonly Finding[],
  ) {
    super(`${subject}: ${findings.map(formatFinding).join('; ')}`);
  }
}

/** Formats a finding as `source:line:column pointer: message`. */
export function formatFinding(finding: Finding): string {
  const position = finding.line === undefined ? '' : `${finding.line}:${finding.column ?? 1} `;
  const source = finding.source === undefined ? '' : `${finding.source}:`;
  const pointer = finding.pointer === '' ? '(document)' : finding.pointer;
  return `${source}${position}${pointer}: ${finding.message}`;
}

/** Maps JSON pointers and offsets in a JSON text to lines and columns. */
export class JsonLocator {
  readonly #root: Node | undefined;

  constructor(
    readonly text: string,
    readonly source?: string,
  ) {
    this.#root = parseTree(text);
  }

  /** Creates a finding for a pointer, with the position of the value or else of its closest ancestor. */
  createFinding(pointer: string, message: string): Finding {
    const node = this.#findNode(pointer);
    const source = this.source === undefined ? {} : { source: this.source };
    if (node === undefined) return { pointer, message, ...source };
    return { pointer, message, ...this.#toLineAndColumn(node.offset), ...source };
  }

  /** Creates a finding for an offset in the text, without a pointer. */
  createFindingAtOffset(offset: number, message: string): Finding {
    const source = this.source === undefined ? {} : { source: this.source };
    return { pointer: '', message, ...this.#toLineAndColumn(offset), ...source };
  }

  #findNode(pointer: string): Node | undefined {
    if (this.#root === undefined) return undefined;
    const segments = parsePointer(pointer);
    while (segments.length > 0) {
      const node = findNodeAtLocation(this.#root, segments);
      if (node !== undefined) return node;
      segments.pop();
    }
    return this.#root;
  }

  #toLineAndColumn(offset: number): { line: number; column: number } {
    const before = this.text.slice(0, offset);
    const lineStart = before.lastIndexOf('\n') + 1;
    return { line: before.split('\n').length, column: offset - lineStart + 1 };
  }
}

function parsePointer(pointer: string): (string | number)[] {
  if (pointer === '') return [];
  return pointer
    .slice(1)
    .split('/')
    .map((segment) => segment.replaceAll('~1', '/').replaceAll('~0', '~'))
    .map((segment) => (/^\d+$/.test(segment) ? Number(segment) : segment));
}

/**
 * Parses JSON text and validates it against a schema.
 * Returns all findings, each with JSON pointer, line and column.
 */
export function parseJson<T>(text: string, isValid: Validator<T>, source?: string): ParseResult<T> {
  const locator = new JsonLocator(text, source);
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { disallowComments: true, allowTrailingComma: false });
  if (errors.length > 0) {
    const findings = errors.map((error) =>
      locator.createFindingAtOffset(
        error.offset,
        `invalid JSON: ${printParseErrorCode(error.error)}`,
      ),
    );
    return { ok: false, findings };
  }
  if (isValid(value)) return { ok: true, value };
  return { ok: false, findings: collectFindings(isValid.errors ?? [], locator) };
}

/**
 * Converts Ajv errors to findings. The summary errors of `oneOf` and `anyOf` are left out, so that
 * each problem is reported once, by the errors of the branches.
 */
export function collectFindings(errors: readonly ErrorObject[], locator: JsonLocator): Finding[] {
  return errors
    .filter((error) => error.keyword !== 'oneOf' && error.keyword !== 'anyOf')
    .map((error) => locator.createFinding(toPointer(error), describeError(error)));
}

function toPointer(error: ErrorObject): string {
  if (error.keyword !== 'additionalProperties') return error.instancePath;
  const property = String(error.params['additionalProperty']);
  return `${error.instancePath}/${property.replaceAll('~', '~0').replaceAll('/', '~1')}`;
}

function describeError(error: ErrorObject): string {
  switch (error.keyword) {
    case 'additionalProperties':
      return 'unknown field';
    case 'required':
      return `missing field ${String(error.params['missingProperty'])}`;
    case 'enum':
      return `must be one of ${(error.params['allowedValues'] as unknown[]).join(', ')}`;
    default:
      return error.message ?? 'invalid value';
  }
}
