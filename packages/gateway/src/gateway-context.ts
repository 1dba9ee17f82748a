import type {
  FailureTracker,
  LoadTable,
  PrefixCacheTracker,
  PromptPart,
  RetryBudget,
} from '@pollendrum/policy';
import type { GatewaySettings } from '@pollendrum/protocol';
import type { AnswerBuffers } from './answer-buffers';
import type { AvailabilityObserver } from './availability-observer';
import type { BackendPool } from './backend-pool';
import type { CrashObserver } from './crash-observer';
import type { GatewayMetrics } from './gateway-metrics';
import type { HeaderCodec } from './header-codec';
import type { KeyFreshness } from './key-freshness';
import type { LimitObserver } from './limit-observer';
import type { LimitSharing } from './limit-sharing';
import type { LimitedAdmissions } from './limited-admissions';
import type { RequestQuarantine } from './request-quarantine';
import type { Clock, GatewayLog } from './log-and-clock';
import type { RouteTable } from './route-table';
import type { ServerAvailability } from './server-availability';
import type { ServerChooser } from './server-chooser';
import type { ServerRegistry } from './server-registry';
import type { TrafficMeter } from './traffic-meter';

/** State and components that all request handlers of an instance share. */
export interface GatewayContext {
  settings: GatewaySettings;
  codec: HeaderCodec;
  log: GatewayLog;
  clock: Clock;
  metrics: GatewayMetrics;
  traffic: TrafficMeter;
  registry: ServerRegistry;
  keyFreshness: KeyFreshness;
  loads: LoadTable;
  prefixes: PrefixCacheTracker;
  failures: FailureTracker;
  retryBudget: RetryBudget;
  backendPool: BackendPool;
  answerBuffers: AnswerBuffers;
  crashObserver: CrashObserver;
  availability: ServerAvailability;
  availabilityObserver: AvailabilityObserver;
  limitObserver: LimitObserver;
  limitSharing: LimitSharing;
  limitedAdmissions: LimitedAdmissions;
  quarantine: RequestQuarantine;
  chooser: ServerChooser;
  /** The route table of the current configuration; undefined until the first configuration is read. */
  getRouteTable(): RouteTable | undefined;
  /**
   * Reports to the other instances that these parts of a prompt were sent to a server. Pass them without the prompt's
   * last part, which no other prompt shares.
   */
  reportPrompt(serverId: string, parts: readonly PromptPart[]): void;
  /** Counts a request of a team that a server began to run. */
  countRun(teamName: string): void;
  /** Whether requests may go to the listed servers; they may not when their entries should have been read again. */
  isServerListUsable(): boolean;
  /** Resolves when the list of servers is usable, or after `timeoutMs` in milliseconds. */
  waitForServerList(timeoutMs: number): Promise<void>;
  /** Whether the instance is draining, so that responses close the connection and callers reconnect elsewhere. */
  isDraining(): boolean;
  /** Whether new requests are taken; a draining instance takes them until the load balancer has reacted. */
  isAccepting(): boolean;
}

/**
 * Records that a prompt was sent to a server, whose prefix cache then holds the parts of the prompt.
 *
 * @param kvTokens capacity of the server's KV cache in tokens, shared with the requests that run there
 */
export function recordPrompt(
  { loads, prefixes, clock }: Pick<GatewayContext, 'loads' | 'prefixes' | 'clock'>,
  { serverId, parts }: { serverId: string; parts: readonly PromptPart[] },
  kvTokens: number,
): void {
  const nowMs = clock();
  const { heldTokens } = loads.getLoad(serverId, nowMs);
  prefixes.record(serverId, parts, { kvTokens, heldTokens }, nowMs);
}
