import { describe, expect, test } from 'vitest';
import { isValidSettings, parseJson } from '../src/index';

const valid = {
  instanceId: 'entry-1',
  address: '127.0.0.1',
  httpPort: 8080,
  peerPort: 9080,
  failureDomain: 'caruaru',
  region: 'nordeste',
  platformUrl: 'http://127.0.0.1:7000',
};

describe('parseJson', () => {
  test('accepts valid settings', () => {
    expect(parseJson(JSON.stringify(valid), isValidSettings)).toEqual({ ok: true, value: valid });
  });

  // Guards against stopping at the first problem and against findings without a position.
  test('reports every problem with its position', () => {
    const text = `{
  "instanceId": "Entry 1",
  "address": "127.0.0.1",
  "httpPort": 99999,
  "failureDomain": "caruaru",
  "region": "nordeste",
  "platformUrl": "http://127.0.0.1:7000",
  "timeout": 5
}`;
    const result = parseJson(text, isValidSettings, 'settings.json');
    const positions = result.ok ? [] : result.findings.map((f) => [f.pointer, f.line, f.column]);
    expect(positions).toHaveLength(4);
    expect(positions).toEqual(
      expect.arrayContaining([
        ['', 1, 1],
        ['/timeout', 8, 14],
        ['/instanceId', 2, 17],
        ['/httpPort', 4, 15],
      ]),
    );
  });

  test('reports malformed JSON with its line', () => {
    const result = parseJson('{\n  "a": \n}', isValidSettings);
    expect(result).toMatchObject({ ok: false, findings: [{ line: 3 }] });
  });
});
