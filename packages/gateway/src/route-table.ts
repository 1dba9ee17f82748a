import type { GatewayTeam, Route, RouteBundle, Service } from './bundle';

/** Why a request has no route, or the route and team that it has. */
export type RouteMatch =
  | { kind: 'matched'; route: Route; team: GatewayTeam | undefined }
  | { kind: 'no-route' }
  | { kind: 'unknown-key' };

/** One version of the configuration, indexed for lookups. */
export class RouteTable {
  readonly version: number;
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly teamsByKey = new Map<string, GatewayTeam>();
  private readonly servicesByName = new Map<string, Service>();
  private readonly tightestPauseByService = new Map<string, number>();

  private readonly lowestRoutePriority: number;
  private readonly lowestPriorityByService = new Map<string, number>();

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

  /** Finds the route with the longest matching prefix and checks the key that it needs. */
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

  /** The tightest pause target of the streams that share a service's servers, in milliseconds. */
  getTightestPauseTargetMs(service: string): number | undefined {
    return this.tightestPauseByService.get(service);
  }

  /** The least urgent priority among the streams that share a service's servers; a higher number is less urgent. */
  getLowestStreamPriority(service: string): number | undefined {
    return this.lowestPriorityByService.get(service);
  }

  /**
   * Rank of a request among those that share its servers, 0 first: a team's priority goes before its route's.
   * Requests of no team rank with the first team priority.
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
      const lowest = this.lowestPriorityByService.get(service) ?? 0;
      this.lowestPriorityByService.set(service, Math.max(lowest, route.priority));
      const known = this.tightestPauseByService.get(service) ?? Infinity;
      this.tightestPauseByService.set(service, Math.min(known, route.pauseTargetMs));
    }
  }
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
