import { Agent, request } from 'node:http';

/** Many streams at once. */
export interface StreamLoad {
  port: number;
  headers: Record<string, string>;
  body: string;
  streams: number;
}

/** One request at a time over one warm connection for each target; the targets take turns. */
export interface LightLoad {
  ports: number[];
  headers: Record<string, string>;
  body: string;
  /** Requests to each target that are measured. */
  requests: number;
  /** Requests to each target before measuring. */
  warmups: number;
}

const PATH = '/v1/chat/completions';
const HOST = '127.0.0.1';

/** Resolves with the received bytes when all streams have ended. */
export async function runStreams(load: StreamLoad): Promise<number> {
  const { port, headers, body, streams } = load;
  const agent = new Agent({ keepAlive: true });
  const sizes = await Promise.all(
    Array.from({ length: streams }, async () => {
      let bytes = 0;
      await sendRequest(port, headers, body, agent, (part) => (bytes += part.length));
      return bytes;
    }),
  );
  agent.destroy();
  return sizes.reduce((sum, bytes) => sum + bytes, 0);
}

/** Resolves with the times to the first byte of each target in milliseconds, sorted. */
export async function runLightLoad(load: LightLoad): Promise<number[][]> {
  const { ports, headers, body, requests, warmups } = load;
  const targets = ports.map((port) => ({
    port,
    agent: new Agent({ keepAlive: true, maxSockets: 1 }),
    timesMs: [] as number[],
  }));
  for (let index = 0; index < warmups + requests; index += 1) {
    for (const { port, agent, timesMs } of targets) {
      const startedAtMs = performance.now();
      let firstMs = 0;
      await sendRequest(port, headers, body, agent, () => {
        if (firstMs === 0) firstMs = performance.now() - startedAtMs;
      });
      if (index >= warmups) timesMs.push(firstMs);
    }
  }
  for (const { agent } of targets) agent.destroy();
  return targets.map(({ timesMs }) => timesMs.sort((a, b) => a - b));
}

async function sendRequest(
  port: number,
  headers: Record<string, string>,
  body: string,
  agent: Agent,
  observePart: (part: Buffer) => void,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const options = { port, host: HOST, path: PATH, method: 'POST', headers, agent };
    const sent = request(options, (response) => {
      response.on('data', observePart);
      response.on('end', resolve);
      response.on('error', reject);
    });
    sent.on('error', reject);
    sent.end(body);
  });
}
