import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, test } from 'vitest';
import { ProcessGroup, ProcessStartError } from '../src/processes';
import type { ManagedProcess } from '../src/processes';

const SCRIPT = 'dist/stand-ins.cjs';

async function requestLoad(engine: ManagedProcess): Promise<number> {
  const url = `http://127.0.0.1:${engine.port.toString()}/load`;
  return (await fetch(url, { signal: AbortSignal.timeout(300) })).status;
}

describe('a managed process', () => {
  // Guards against a stand-in that prints no ready line or ignores SIGTERM.
  test.each([
    ['platform', []],
    ['engine', ['--slots', '2', '--tokens-per-second', '100', '--id', 'e1']],
    ['service', ['--id', 's1']],
  ])('%s starts, listens and stops on SIGTERM', async (command, args) => {
    await using group = new ProcessGroup();
    const started = await group.start({ script: SCRIPT, args: [command, ...args] });
    const response = await fetch(`http://127.0.0.1:${started.port.toString()}/admin/faults`);
    expect(response.status).toBe(200);
    await response.arrayBuffer();
    expect(await started.stop()).toEqual({ code: 0, signal: null });
  });

  // Guards against a freeze that does not stop the process or cannot be undone.
  test('freezes and continues', async () => {
    await using group = new ProcessGroup();
    const engine = await group.start({ script: SCRIPT, args: ['engine'] });
    engine.setFrozen(true);
    await expect(requestLoad(engine)).rejects.toThrow();
    engine.setFrozen(false);
    await sleep(50);
    expect(await requestLoad(engine)).toBe(200);
  });

  // Guards against a crash fault that leaves the process running.
  test('exits by the crash fault', async () => {
    await using group = new ProcessGroup();
    const engine = await group.start({ script: SCRIPT, args: ['engine'] });
    const url = `http://127.0.0.1:${engine.port.toString()}/admin/faults`;
    await fetch(url, { method: 'POST', body: '{"crash":true}' }).catch(() => undefined);
    expect(await engine.exited).toEqual({ code: 70, signal: null });
  });

  // Guards against a hang on a process that exits before it is ready, and a silent cause.
  test('that fails to start is reported with its error output', async () => {
    await using group = new ProcessGroup();
    const starting = group.start({ script: SCRIPT, args: ['engine', '--slots', 'x'] });
    await expect(starting).rejects.toThrow(ProcessStartError);
    await expect(starting).rejects.toThrow('--slots needs a number');
  });
});

// Guards against processes that are left behind, frozen ones included.
test('disposal of a group ends all its processes', async () => {
  const group = new ProcessGroup();
  const args = [['platform'], ['engine'], ['service']];
  const all = await Promise.all(args.map((each) => group.start({ script: SCRIPT, args: each })));
  all[1]?.setFrozen(true);
  await group[Symbol.asyncDispose]();
  for (const { pid } of all) expect(() => process.kill(pid, 0)).toThrow('ESRCH');
});
