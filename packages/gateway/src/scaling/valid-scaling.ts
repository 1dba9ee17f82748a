import type { RouteBundle } from '../bundle';
import type { RouteTable } from '../route-table';

/**
 * Gives the services whose stated scaling is invalid the one that was in force before. An instance that has not known a valid one
 * orders no servers for the service.
 */
export function resolveScaling(bundle: RouteBundle, previous: RouteTable | undefined): RouteBundle {
  if (!bundle.services.some(({ hasInvalidScaling }) => hasInvalidScaling)) return bundle;
  const services = bundle.services.map((service) =>
    service.hasInvalidScaling
      ? { ...service, scaling: previous?.getService(service.name)?.scaling }
      : service,
  );
  return { ...bundle, services };
}
