import { writeFileSync } from 'node:fs';
import { validateBundle } from '@pollendrum/platform';
import { FindingsError, isValidBundleEnvelope, parseJson } from '@pollendrum/protocol';
import type { Bundle, BundleEnvelope } from '@pollendrum/protocol';
import { readTextFile } from '../settings-file';

/** A bundle file and its exact text, which is what operators sign. */
export interface BundleFile {
  text: string;
  bundle: Bundle;
}

/**
 * Reads and validates a bundle file.
 * @throws FindingsError with all findings.
 */
export function loadBundleFile(file: string): BundleFile {
  const text = readTextFile(file);
  const result = validateBundle(text, file);
  if (!result.ok) throw new FindingsError(`bundle ${file}`, result.findings);
  return { text, bundle: result.value };
}

/**
 * Reads a signed bundle.
 * @throws FindingsError with all findings.
 */
export function loadEnvelopeFile(file: string): BundleEnvelope {
  const result = parseJson(readTextFile(file), isValidBundleEnvelope, file);
  if (!result.ok) throw new FindingsError(`signed bundle ${file}`, result.findings);
  return result.value;
}

/** Writes a value as indented JSON. */
export function writeJsonFile(file: string, value: unknown): void {
  writeFileSync(file, `${JSON.stringify(value, null, 2)}\n`);
}
