import type {
  FailureTracker,
  LoadTable,
  PrefixCacheTracker,
  PromptPart,
  RetryBudget,
} from '@pollendrum/policy';
import type { GatewaySettings } from '@pollendrum/protocol';
import type { BackendPool } from './backend-pool';
import type { GatewayMetrics } from './gateway-metrics';
import type { HeaderCodec } from './header-codec';
import type { KeyFreshness } from './key-freshness';
import type { Clock, GatewayLog } from './ports';
import type { RouteTable } from './route-table';
import type { ServerChooser } from './server-chooser';
import type { ServerRegistry } from './server-registry';

/** What the request flows of one instance share. */
export interface GatewayContext {
  settings: GatewaySettings;
  codec: HeaderCodec;
  log: GatewayLog;
  clock: Clock;
  metrics: GatewayMetrics;
  registry: ServerRegistry;
  keyFreshness: KeyFreshness;
  loads: LoadTable;
  prefixes: PrefixCacheTracker;
  failures: FailureTracker;
  retryBudget: RetryBudget;
  backendPool: BackendPool;
  chooser: ServerChooser;
  /** The configuration in force; undefined until the first one is read. */
  getRouteTable(): RouteTable | undefined;
  /** Tells the other instances which shared parts of a prompt were sent to a server. */
  reportPrompt(serverId: string, parts: readonly PromptPart[]): void;
  /** Whether the instance is stopping, so that callers are told to reconnect elsewhere. */
  isDraining(): boolean;
}

/** Notes that a prompt was sent to a server with room for `kvTokens`, of which running requests hold a part. */
export function recordPrompt(
  { loads, prefixes, clock }: Pick<GatewayContext, 'loads' | 'prefixes' | 'clock'>,
  { serverId, parts }: { serverId: string; parts: readonly PromptPart[] },
  kvTokens: number,
): void {
  const nowMs = clock();
  const { heldTokens } = loads.getLoad(serverId, nowMs);
  prefixes.record(serverId, parts, { kvTokens, heldTokens }, nowMs);
}
