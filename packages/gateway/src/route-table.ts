import type { GatewayTeam, Route, RouteBundle, Service } from './bundle';

export interface MatchedRoute {
  kind: 'matched';
  route: Route;
  team: GatewayTeam | undefined;
}

/** Result of a route lookup: the matched route and team, or why there is no match. */
export type RouteMatch = MatchedRoute | { kind: 'no-route' } | { kind: 'unknown-key' };

/** Lookup indexes over one version of the configuration. */
export class RouteTable {
  readonly version: number;
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly teamsByKey = new Map<string, GatewayTeam>();
  private readonly servicesByName = new Map<string, Service>();
  private readonly tightestPauseTargetMsByService = new Map<string, number>();

  private readonly lowestRoutePriority: number;
  private readonly lowestStreamPriorityByService = new Map<string, number>();

  constructor(readonly bundle: RouteBundle) {
    this.version = bundle.version;
    for (const route of bundle.routes) this.#indexRoute(route);
    this.lowestRoutePriority = Math.max(0, ...bundle.routes.map((route) => route.priority));
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of bundle.services) this.servicesByName.set(service.name, service);
    for (const team of bundle.teams ?? []) {
      for (const key of team.keys) this.teamsByKey.set(key, team);
    }
  }

  /** Finds the route with the longest matching path prefix and checks the team key unless the route is public. */
  findRoute(host: string, path: string, key: string | undefined): RouteMatch {
    const routes = this.routesByHost.get(normalizeHost(host)) ?? [];
    const route = routes.find((candidate) => path.startsWith(candidate.pathPrefix));
    if (route === undefined) return { kind: 'no-route' };
    const team = key === undefined ? undefined : this.teamsByKey.get(key);
    if (this.bundle.teams === undefined || route.isPublic) return { kind: 'matched', route, team };
    return team === undefined ? { kind: 'unknown-key' } : { kind: 'matched', route, team };
  }

  getService(name: string): Service | undefined {
    return this.servicesByName.get(name);
  }

  /** Shortest pause target of the streams with a pause target that share the service's servers, in milliseconds. */
  getTightestPauseTargetMs(service: string): number | undefined {
    return this.tightestPauseTargetMsByService.get(service);
  }

  /**
   * Lowest priority of the streams with a pause target that share the service's servers, which is the highest number.
   */
  getLowestStreamPriority(service: string): number | undefined {
    return this.lowestStreamPriorityByService.get(service);
  }

  /**
   * Computes the rank of a request among those that share its servers; 0 is the most urgent. The team's priority
   * takes precedence over the route's. Requests without a team priority rank like those of team priority 0.
   */
  computeRank(route: Route, team: GatewayTeam | undefined): number {
    return (team?.priority ?? 0) * (this.lowestRoutePriority + 1) + route.priority;
  }

  #indexRoute(route: Route): void {
    const host = normalizeHost(route.host);
    const routes = this.routesByHost.get(host) ?? [];
    routes.push(route);
    this.routesByHost.set(host, routes);
    if (route.pauseTargetMs === undefined) return;
    for (const { service } of route.services) {
      const lowest = this.lowestStreamPriorityByService.get(service) ?? 0;
      this.lowestStreamPriorityByService.set(service, Math.max(lowest, route.priority));
      const tightest = this.tightestPauseTargetMsByService.get(service) ?? Infinity;
      this.tightestPauseTargetMsByService.set(service, Math.min(tightest, route.pauseTargetMs));
    }
  }
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
