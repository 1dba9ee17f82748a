import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { GatewaySettings } from '@pollendrum/protocol';
import type { GatewayContext } from './gateway-context';

const DEFAULT_READINESS_PATH = '/readyz';

/** Creates the server that answers the load balancer's readiness checks; it does not listen yet. */
export function createReadinessServer(settings: GatewaySettings, isReady: () => boolean): Server {
  const path = settings.readinessPath ?? DEFAULT_READINESS_PATH;
  return createServer((request, response) => {
    if (request.url !== path) response.writeHead(404).end();
    else response.writeHead(isReady() ? 200 : 503).end();
  });
}

/** Creates the server of the metrics page; it does not listen yet. */
export function createMetricsServer(context: GatewayContext): Server {
  return createServer((_, response) => {
    context.metrics
      .renderText()
      .then((text) => {
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
      })
      .catch((error: unknown) => {
        context.log.error('failed to render metrics', { error: String(error) });
        response.writeHead(500).end();
      });
  });
}
