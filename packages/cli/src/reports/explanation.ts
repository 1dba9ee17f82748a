import { describeCause } from '@pollendrum/protocol';
import type { OutcomeRecord } from '@pollendrum/protocol';

/** Explains one ended request in words: outcome, cause with evidence, and time at each hop. */
export function formatExplanation(record: OutcomeRecord): string {
  const received = new Date(record.receivedAtMs).toISOString();
  const lines = [
    `request ${record.requestId}: ${describeOutcome(record)}`,
    `  cause:    ${describeRecordCause(record)}`,
    `  received: ${received} by instance ${record.entryInstanceId}, bundle ${record.bundleNumber}`,
    `  class:    ${record.className} (tier ${record.tier}), team ${record.team}, target ${record.target}`,
    `  servers:  ${record.serverIds.length > 0 ? record.serverIds.join(', ') : 'none'}`,
    `  tokens:   ${record.outputTokens} delivered, ${record.wastedTokens} wasted`,
    '  time by hop:',
    ...record.hops.map(formatHop),
    `    ${'total'.padEnd(HOP_WIDTH)}${formatDuration(record.totalMs)}`,
  ];
  return lines.join('\n');
}

const HOP_WIDTH = 14;

function describeOutcome(record: OutcomeRecord): string {
  const status = record.status > 0 ? ` with status ${record.status}` : '';
  switch (record.outcome) {
    case 'answered':
      return `answered ${record.onTime ? 'on time' : 'late'}${status}`;
    case 'not-run':
      return `not run, refused${status}`;
    case 'failed':
      return `failed after it ran${status}`;
    case 'unknown':
      return `may have run, the outcome is unknown${status}`;
    case 'cancelled':
      return 'cancelled by the caller';
  }
}

function describeRecordCause(record: OutcomeRecord): string {
  if (record.cause !== undefined) return `${record.cause.kind}: ${describeCause(record.cause)}`;
  return record.onTime ? 'none, every target was met' : 'not recorded';
}

function formatHop(hop: OutcomeRecord['hops'][number]): string {
  const detail = hop.detail === undefined ? '' : `  ${hop.detail}`;
  return `    ${hop.hop.padEnd(HOP_WIDTH)}${formatDuration(hop.elapsedMs)}${detail}`;
}

function formatDuration(valueMs: number): string {
  return `${valueMs.toFixed(1).padStart(10)} ms`;
}
