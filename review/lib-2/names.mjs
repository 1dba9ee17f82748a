import { readFileSync } from 'node:fs';

/** Names of the platform by the names that the stand-ins use. */
export const NAMES = Object.fromEntries(
  readFileSync(new URL('platform-names.txt', import.meta.url), 'utf8')
    .trim()
    .split('\n')
    .map((line) => line.split(' ')),
);
