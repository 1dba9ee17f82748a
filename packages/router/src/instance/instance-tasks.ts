import type {
  BundlePort,
  ClaimsPort,
  MembershipPort,
  OutcomePort,
  PeerPort,
  RoutingPort,
} from '../ports';
import type { ControlTraffic } from '../telemetry/traffic-counter';

/** The part of the dispatcher that the instance uses. */
export interface DispatcherHandle extends AsyncDisposable {
  /** Replies `moved` to waiting requests and accepts no new ones. */
  releaseShards(): Promise<void>;
}

/** The tasks of an instance other than the entry. */
export interface InstanceTasks {
  peers: PeerPort & AsyncDisposable;
  membership: MembershipPort & AsyncDisposable;
  routing: RoutingPort & AsyncDisposable;
  instanceList: AsyncDisposable;
  bundles: BundlePort & AsyncDisposable;
  claims: ClaimsPort & AsyncDisposable;
  outcomes: OutcomePort & AsyncDisposable;
  dispatcher: DispatcherHandle;
  /** Counts the traffic that membership and links send and receive. */
  traffic?: ControlTraffic;
}
