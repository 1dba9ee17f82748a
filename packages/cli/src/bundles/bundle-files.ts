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

/** A small valid bundle to start from. */
export function createStarterBundle(number: number, teamKeySha256: string): Bundle {
  return {
    formatVersion: 1,
    number,
    description: 'First bundle: one class for each tier.',
    classes: [
      {
        name: 'plan',
        tier: 0,
        floorPercent: 10,
        preference: 'attainment',
        targetFirstByteMs: 1300,
        targetTokenGapMs: 66,
        maxQueueMs: 1300,
        maxTotalMs: 120_000,
        retryBudgetPercent: 10,
      },
      {
        name: 'question',
        tier: 1,
        floorPercent: 10,
        preference: 'attainment',
        targetFirstByteMs: 1300,
        targetTokenGapMs: 66,
        maxQueueMs: 1300,
        maxTotalMs: 30_000,
        retryBudgetPercent: 10,
      },
      {
        name: 'order',
        tier: 1,
        floorPercent: 10,
        preference: 'goodput',
        targetFirstByteMs: 1000,
        maxQueueMs: 5000,
        maxTotalMs: 15_000,
        retryBudgetPercent: 10,
      },
    ],
    teams: [
      {
        name: 'sample',
        keySha256: [teamKeySha256],
        classes: ['question', 'plan', 'order'],
        weight: 1,
      },
    ],
    models: [{ name: 'advisor', pool: 'advisor' }],
    services: [
      {
        name: 'orders',
        pool: 'orders',
        routes: [
          { method: 'POST', pathPrefix: '/orders', isIdempotent: false },
          { method: 'GET', pathPrefix: '/stock', isIdempotent: true },
        ],
      },
    ],
  };
}
