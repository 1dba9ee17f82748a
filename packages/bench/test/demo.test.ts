import { execFile } from 'node:child_process';
import { existsSync } from 'node:fs';
import { promisify } from 'node:util';
import { describe, expect, test } from 'vitest';
import { findFreePorts } from '../src/free-ports';
import { ProcessGroup } from '../src/processes';
import type { ManagedProcess } from '../src/processes';

const SCRIPT = 'dist/stand-ins.cjs';
const runFile = promisify(execFile);

async function startDemo(group: ProcessGroup): Promise<ManagedProcess> {
  const [port = 0] = await findFreePorts(1);
  return group.start({ script: SCRIPT, args: ['demo', '--port', port.toString()] });
}

function sendCall(demo: ManagedProcess, path: string, options: RequestInit): Promise<Response> {
  const headers = {
    authorization: 'Bearer demo-team-key',
    'x-service-class': 'order',
    'idempotency-key': 'order-1',
  };
  return fetch(`http://127.0.0.1:${demo.port.toString()}${path}`, { ...options, headers });
}

describe('the demo', () => {
  // Guards against a demo that leaves files or a running process behind, or reports its stop as a failure.
  test.each(['SIGINT', 'SIGTERM'] as const)('ends cleanly on %s', async (signal) => {
    await using group = new ProcessGroup();
    const demo = await startDemo(group);
    const folder = String(demo.readyLine.folder);
    expect(existsSync(folder)).toBe(true);
    demo.sendSignal(signal);
    expect(await demo.exited).toEqual({ code: 0, signal: null });
    expect(existsSync(folder)).toBe(false);
  });

  // Guards against a demo whose sample calls do not reach the embedded service, or run an order twice.
  test('answers an order once and a stock lookup', async () => {
    await using group = new ProcessGroup();
    const demo = await startDemo(group);
    const order = { method: 'POST', body: '{"item":"oats","quantity":3}' };
    const first = await sendCall(demo, '/services/orders/orders', order);
    const repeated = await sendCall(demo, '/services/orders/orders', order);
    const firstBody: unknown = await first.json();
    expect(firstBody).toMatchObject({ orderNumber: 1, item: 'oats' });
    expect(await repeated.json()).toEqual(firstBody);
    const stock = await sendCall(demo, '/services/orders/stock/oats', {});
    expect(await stock.json()).toEqual({ item: 'oats', quantity: 11 });
  });

  // Guards against a hang or a stack trace instead of a message.
  test.each([
    ['a port that is taken', (taken: number) => taken.toString(), 'is taken'],
    ['a port that is no number', () => 'x', '--port needs a number'],
  ])('refuses %s', async (_name, choosePort, message) => {
    await using group = new ProcessGroup();
    const platform = await group.start({ script: SCRIPT, args: ['platform'] });
    const args = [SCRIPT, 'demo', '--port', choosePort(platform.port)];
    const failed = runFile(process.execPath, args, { timeout: 5000 });
    await expect(failed).rejects.toMatchObject({
      code: 1,
      stderr: expect.stringContaining(message) as string,
    });
  });
});
