import type { LogLine } from './log-lines';

/** Why a request ended as it did, as far as the logs tell. */
export type LoggedCause =
  | 'none'
  | 'overload'
  | 'server-failed'
  | 'server-silent'
  | 'no-server'
  | 'retry-budget'
  | 'poison-request'
  | 'store-lost'
  | 'instance-stopped'
  | 'not-allowed'
  | 'caller-left'
  | 'other';

/** What the logs say of one request at one instance. */
export interface LogExplanation {
  cause: LoggedCause;
  request: LogLine;
  /** Changes of the instance's beliefs about what the request depended on, oldest first. */
  beliefs: LogLine[];
}

/** Beliefs that changed this long before or after the end of a request can explain it, in milliseconds. */
const BELIEF_WINDOW_MS = 10_000;
const REQUEST_MESSAGES: ReadonlySet<string> = new Set(['request answered', 'request not answered']);
const STORE_MESSAGES: ReadonlySet<string> = new Set(['store lost', 'store regained']);

/** Finds a request in the logs and what its instance believed around it. */
export function explainFromLogs(lines: readonly LogLine[], requestId: string): LogExplanation[] {
  return lines
    .filter((line) => REQUEST_MESSAGES.has(line.message) && line.fields.requestId === requestId)
    .map((request) => ({
      cause: findCause(request),
      request,
      beliefs: lines
        .filter((line) => line.instance === request.instance && isRelated(line, request))
        .sort((a, b) => Date.parse(a.timestamp) - Date.parse(b.timestamp)),
    }));
}

interface LoggedAttempt {
  serverId: string;
  result: string;
  predictedMs?: number;
  queuedMs?: number;
  firstByteMs?: number;
  elapsedMs?: number;
}

function listAttempts(request: LogLine): LoggedAttempt[] {
  const { attempts } = request.fields;
  return Array.isArray(attempts) ? (attempts as LoggedAttempt[]) : [];
}

/** Words of a logged reason and the cause that they stand for; the first match counts. */
const CAUSES_BY_REASON: readonly (readonly [RegExp, LoggedCause])[] = [
  [/expected only in/, 'overload'],
  [/connections to the backend server are in use/, 'overload'],
  [/limits leave no room/, 'overload'],
  [/budget for repeated sends/, 'retry-budget'],
  [/crash backend servers/, 'poison-request'],
  [/no backend server is left/, 'no-server'],
  [/may be out of date|no configuration yet/, 'store-lost'],
  [/the instance stops/, 'instance-stopped'],
  [/unknown key|no route|too large/, 'not-allowed'],
  [/silent|within the time limit/, 'server-silent'],
];

function findCause(request: LogLine): LoggedCause {
  const { outcome, reason } = request.fields;
  const attempts = listAttempts(request);
  if (outcome === 'caller-left') return 'caller-left';
  if (outcome === 'answered') {
    return attempts.some(({ result }) => result === 'broken') ? 'server-failed' : 'none';
  }
  const text = typeof reason === 'string' ? reason : '';
  const known = CAUSES_BY_REASON.find(([pattern]) => pattern.test(text));
  if (known !== undefined) return known[1];
  return attempts.length > 0 ? 'server-failed' : 'other';
}

function isRelated(line: LogLine, request: LogLine): boolean {
  const apartMs = Math.abs(Date.parse(line.timestamp) - Date.parse(request.timestamp));
  if (apartMs > BELIEF_WINDOW_MS) return false;
  if (STORE_MESSAGES.has(line.message) || line.message === 'configuration in force') return true;
  const serverIds = listAttempts(request).map(({ serverId }) => serverId);
  const isServerLine = line.message.startsWith('backend server ');
  return isServerLine && serverIds.includes(String(line.fields.serverId));
}

/** Formats an explanation for people. */
export function formatLogExplanation({ cause, request, beliefs }: LogExplanation): string {
  const { fields, timestamp, instance } = request;
  const status = fields.status === undefined ? '' : ` with status ${String(fields.status)}`;
  const lines = [
    `request ${String(fields.requestId)}: ${String(fields.outcome)}${status}`,
    `  cause:    ${cause}${fields.reason === undefined ? '' : ` (${String(fields.reason)})`}`,
    `  ended:    ${timestamp} at instance ${instance}, configuration ${String(fields.bundleVersion)}`,
    `  route:    ${String(fields.route ?? 'none')}, team ${String(fields.team ?? 'none')}`,
    `  times:    ${formatTimes(fields)}`,
    ...listAttempts(request).map(formatAttempt),
    ...beliefs.map((line) => `  belief:   ${line.timestamp} ${formatBelief(line)}`),
  ];
  return lines.join('\n');
}

function formatTimes(fields: Record<string, unknown>): string {
  const names = ['firstByteMs', 'longestPauseMs', 'elapsedMs', 'deadlineMs', 'keyAgeMs'];
  const known = names.filter((name) => fields[name] !== undefined);
  return known.map((name) => `${name} ${String(fields[name])}`).join(', ');
}

function formatAttempt(attempt: LoggedAttempt): string {
  const seen = attempt.firstByteMs === undefined ? 'none' : `${attempt.firstByteMs} ms`;
  return (
    `  attempt:  server ${attempt.serverId}: ${attempt.result} after ${attempt.elapsedMs ?? 0} ms, ` +
    `first byte ${seen} (predicted ${attempt.predictedMs ?? 0} ms, queued ${attempt.queuedMs ?? 0} ms)`
  );
}

function formatBelief(line: LogLine): string {
  const details = ['serverId', 'state', 'kind', 'version', 'lostForMs', 'error']
    .filter((name) => line.fields[name] !== undefined)
    .map((name) => `${name} ${String(line.fields[name])}`);
  return [line.message, ...details].join(', ');
}
