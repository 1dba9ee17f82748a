import { readFileSync } from 'node:fs';
import {
  FindingsError,
  isValidGatewaySettings,
  isValidSettings,
  JsonLocator,
  parseJson,
} from '@pollendrum/protocol';
import type { Finding, GatewaySettings, ParseResult, Settings } from '@pollendrum/protocol';

/** Settings with every default filled in. */
export type ResolvedSettings = Settings &
  Required<
    Pick<
      Settings,
      | 'trustedOperators'
      | 'requiredSignatures'
      | 'maxBodyBytes'
      | 'maxConnections'
      | 'callerIdleTimeoutMs'
      | 'balancerLagMs'
      | 'drainLimitMs'
      | 'claimRetentionMs'
      | 'slotsPerServer'
      | 'probeIntervalMs'
      | 'logLevel'
      | 'traceSampleRatio'
      | 'clusterKey'
    >
  >;

/** Fills in the defaults that the schema states. */
export function resolveSettings(settings: Settings, clusterKey: string): ResolvedSettings {
  return {
    trustedOperators: [],
    requiredSignatures: 1,
    maxBodyBytes: 4_194_304,
    maxConnections: 10_000,
    callerIdleTimeoutMs: 60_000,
    balancerLagMs: 10_000,
    drainLimitMs: 900_000,
    claimRetentionMs: 86_400_000,
    slotsPerServer: 8,
    probeIntervalMs: 500,
    logLevel: 'info',
    traceSampleRatio: 1,
    ...settings,
    clusterKey,
  };
}

/** Checks settings text: schema first, then what the schema cannot say. All findings at once. */
export function parseSettings(text: string, source: string): ParseResult<Settings> {
  const parsed = parseJson(text, isValidSettings, source);
  if (!parsed.ok) return parsed;
  const findings = collectSemanticFindings(parsed.value, new JsonLocator(text, source));
  return findings.length > 0 ? { ok: false, findings } : parsed;
}

function collectSemanticFindings(settings: Settings, places: JsonLocator): Finding[] {
  const findings: Finding[] = [];
  const operators = settings.trustedOperators ?? [];
  const required = settings.requiredSignatures ?? 1;
  if (operators.length > 0 && required > operators.length) {
    const message = `needs ${required} signatures but trusts only ${operators.length} operator(s)`;
    findings.push(places.createFinding('/requiredSignatures', message));
  }
  if (settings.clusterKey === undefined && settings.clusterKeyFile === undefined) {
    findings.push(places.createFinding('', 'clusterKeyFile or clusterKey is required'));
  }
  if (settings.httpPort !== 0 && settings.httpPort === settings.peerPort) {
    findings.push(places.createFinding('/peerPort', 'must differ from httpPort'));
  }
  const names = operators.map((operator) => operator.name);
  names.forEach((name, index) => {
    if (names.indexOf(name) === index) return;
    findings.push(
      places.createFinding(`/trustedOperators/${index}/name`, `repeats operator ${name}`),
    );
  });
  return findings;
}

/**
 * Reads and checks a settings file and the cluster key that it names.
 * @throws FindingsError with all findings.
 */
export function loadSettings(file: string): ResolvedSettings {
  const result = parseSettings(readTextFile(file), file);
  if (!result.ok) throw new FindingsError(`settings file ${file}`, result.findings);
  return resolveSettings(result.value, readClusterKey(result.value));
}

/**
 * Reads and checks the settings file of a gateway.
 * @throws FindingsError with all findings.
 */
export function loadGatewaySettings(file: string): GatewaySettings {
  const result = parseJson(readTextFile(file), isValidGatewaySettings, file);
  if (!result.ok) throw new FindingsError(`settings file ${file}`, result.findings);
  return result.value;
}

function readClusterKey(settings: Settings): string {
  if (settings.clusterKeyFile === undefined) return settings.clusterKey ?? '';
  return readTextFile(settings.clusterKeyFile).trim();
}

/**
 * Reads a text file.
 * @throws FindingsError when it cannot be read.
 */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new FindingsError(file, [
      { pointer: '', message: `cannot read the file: ${reason}`, source: file },
    ]);
  }
}
