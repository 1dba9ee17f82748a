import type { DueLoad, PromptPart } from '@pollendrum/policy';
import { decodeCbor, encodeCbor, isValidLoadReport } from '@pollendrum/protocol';
import type { LoadReportServer } from '@pollendrum/protocol';

/** A prompt that was sent to a backend server, without the last part, which no other prompt shares. */
export interface ReportedPrompt {
  serverId: string;
  parts: readonly PromptPart[];
}

/** Changes of the load that an instance has put on backend servers. */
export interface LoadReport {
  instanceId: string;
  /** Distinguishes the starts of an instance. */
  incarnation: string;
  /** Increases with each report of an incarnation. */
  sequence: number;
  loads: readonly DueLoad[];
  prompts: readonly ReportedPrompt[];
}

export type DecodedLoadReport =
  { kind: 'report'; report: LoadReport } | { kind: 'invalid'; reason: unknown };

const PER_MILLE = 1_000;

/** Encodes a report as arrays, since field names would take most of the datagram. */
export function encodeLoadReport(report: LoadReport): Buffer {
  return encodeCbor([
    report.instanceId,
    report.incarnation,
    report.sequence,
    report.loads.map(encodeServer),
    report.prompts.map(({ serverId, parts }) => [
      serverId,
      parts.map(({ id, tokens }) => [id, Math.round(tokens)]),
    ]),
  ]);
}

/** Decodes a datagram of a peer, which may hold any bytes. */
export function decodeLoadReport(bytes: Buffer): DecodedLoadReport {
  let message: unknown;
  try {
    message = decodeCbor(bytes);
  } catch (error) {
    return { kind: 'invalid', reason: String(error) };
  }
  if (!isValidLoadReport(message)) return { kind: 'invalid', reason: isValidLoadReport.errors };
  const [instanceId, incarnation, sequence, servers, prompts] = message;
  return {
    kind: 'report',
    report: {
      instanceId,
      incarnation,
      sequence,
      loads: servers.map(decodeServer),
      prompts: prompts.map(([serverId, parts]) => ({
        serverId,
        parts: parts.map(([id, tokens]) => ({ id, tokens })),
      })),
    },
  };
}

function encodeServer({ serverId, load }: DueLoad): LoadReportServer {
  return [
    serverId,
    load.waiting,
    load.streaming,
    load.pauseSensitive,
    Math.round(load.queuedPrefillMs),
    Math.round(load.heldTokens),
    Math.round(load.shortShare * PER_MILLE),
    Math.round(load.longShare * PER_MILLE),
    load.dueInMs === undefined ? null : Math.round(load.dueInMs),
  ];
}

/** Reads the fields by index, since destructuring an array takes most of the time of taking in a report. */
function decodeServer(server: LoadReportServer): DueLoad {
  return {
    serverId: server[0],
    load: {
      queuedPrefillMs: server[4],
      waiting: server[1],
      streaming: server[2],
      pauseSensitive: server[3],
      heldTokens: server[5],
      shortShare: server[6] / PER_MILLE,
      longShare: server[7] / PER_MILLE,
      dueInMs: server[8] ?? undefined,
    },
  };
}
