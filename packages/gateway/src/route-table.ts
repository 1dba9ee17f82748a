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

  constructor(readonly bundle: RouteBundle) {
    this.version = bundle.version;
    for (const route of bundle.routes) this.#indexRoute(route);
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
  getTightestPauseMs(service: string): number | undefined {
    return this.tightestPauseByService.get(service);
  }

  #indexRoute(route: Route): void {
    const host = normalizeHost(route.host);
    const routes = this.routesByHost.get(host) ?? [];
    routes.push(route);
    this.routesByHost.set(host, routes);
    if (route.pauseTargetMs === undefined) return;
    for (const { service } of route.services) {
      const known = this.tightestPauseByService.get(service) ?? Infinity;
      this.tightestPauseByService.set(service, Math.min(known, route.pauseTargetMs));
    }
  }
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
