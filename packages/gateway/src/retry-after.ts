/** Time for which a backend server wants no requests, as an answer states it. */
export type RetryAfter =
  | { kind: 'none' }
  /** `durationMs` is at most a day; 0 when the time is over. */
  | { kind: 'pause'; durationMs: number }
  | { kind: 'invalid'; text: string };

const HEADER_NAME = 'retry-after';
const MS_PER_SECOND = 1_000;
/** Bounds what a wrong value can cost; the server is tried again afterwards. */
const MAX_PAUSE_MS = 24 * 3_600 * MS_PER_SECOND;
const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;
/** Several numbers that a proxy has joined. */
const NUMBER_LIST = /^[\d.]+(\s*,\s*[\d.]+)+$/;
const TIME = String.raw`\d{2}:\d{2}:\d{2}`;
/** The three formats of RFC 9110, section 5.6.7; `Date.parse` also takes texts that are no dates. */
const HTTP_DATES = [
  new RegExp(String.raw`^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} ${TIME} GMT$`),
  new RegExp(String.raw`^[A-Z][a-z]+day, \d{2}-[A-Z][a-z]{2}-\d{2} ${TIME} GMT$`),
  new RegExp(String.raw`^[A-Z][a-z]{2} [A-Z][a-z]{2} [ \d]\d ${TIME} \d{4}$`),
];

/**
 * Decodes the `retry-after` headers of an answer: seconds, also with decimals, or an HTTP date. Of several headers the
 * longest valid time holds; the result is invalid if none is valid.
 *
 * @param headers header values by lower-case name
 * @param nowUnixMs the time that a date is compared with
 */
export function decodeRetryAfter(
  headers: NodeJS.Dict<string | string[]>,
  nowUnixMs: number,
): RetryAfter {
  const value = headers[HEADER_NAME];
  if (value === undefined) return { kind: 'none' };
  const texts = [value].flat().flatMap(splitNumbers);
  const durations = texts
    .map((text) => parseDurationMs(text, nowUnixMs))
    .filter((durationMs) => durationMs !== undefined);
  if (durations.length === 0) return { kind: 'invalid', text: texts.join(', ') };
  return { kind: 'pause', durationMs: Math.min(MAX_PAUSE_MS, Math.max(...durations)) };
}

function splitNumbers(value: string): string[] {
  const text = value.trim();
  return NUMBER_LIST.test(text) ? text.split(',').map((part) => part.trim()) : [text];
}

function parseDurationMs(text: string, nowUnixMs: number): number | undefined {
  if (DECIMAL_NUMBER.test(text)) return Number(text) * MS_PER_SECOND;
  if (!HTTP_DATES.some((format) => format.test(text))) return undefined;
  const atUnixMs = Date.parse(text.endsWith('GMT') ? text : `${text} GMT`);
  return Number.isNaN(atUnixMs) ? undefined : Math.max(0, atUnixMs - nowUnixMs);
}
