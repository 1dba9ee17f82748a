import type {
  BundlePort,
  ClaimsPort,
  MembershipPort,
  OutcomePort,
  PeerPort,
  RoutingPort,
} from '../ports';
import type { ControlTraffic } from '../telemetry/traffic-counter';

/** The dispatcher task as the instance uses it. */
export interface DispatcherHandle extends AsyncDisposable {
  /** Answers waiting requests `moved` and takes no new ones. */
  releaseShards(): Promise<void>;
}

/** The tasks that run besides the entry. */
export interface InstanceTasks {
  peers: PeerPort & AsyncDisposable;
  membership: MembershipPort & AsyncDisposable;
  routing: RoutingPort & AsyncDisposable;
  instanceList: AsyncDisposable;
  bundles: BundlePort & AsyncDisposable;
  claims: ClaimsPort & AsyncDisposable;
  outcomes: OutcomePort & AsyncDisposable;
  dispatcher: DispatcherHandle;
  /** Counters of what membership and links send and receive. */
  traffic?: ControlTraffic;
}
