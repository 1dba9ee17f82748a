import { describe, expect, test } from 'vitest';
import { parseSettings } from '../src/settings-file';

const valid = {
  instanceId: 'entry-1',
  address: '127.0.0.1',
  httpPort: 8080,
  peerPort: 9080,
  failureDomain: 'caruaru',
  region: 'nordeste',
  platformUrl: 'http://127.0.0.1:7000',
  clusterKey: 'a-key-for-tests-only',
};

// Guards against settings that pass the schema and fail only when the instance runs.
describe('parseSettings', () => {
  test.each([
    ['a missing cluster key', { clusterKey: undefined }, ['']],
    ['one port for two listeners', { peerPort: 8080 }, ['/peerPort']],
    [
      'more signatures than trusted operators, one of them twice',
      {
        requiredSignatures: 3,
        trustedOperators: [
          { name: 'ana', publicKey: 'x' },
          { name: 'ana', publicKey: 'y' },
        ],
      },
      ['/requiredSignatures', '/trustedOperators/1/name'],
    ],
    ['a duration without its unit', { drainLimit: 5 }, ['/drainLimit']],
  ])('reports %s', (_name, change, pointers) => {
    const text = JSON.stringify({ ...valid, ...change }, null, 2);
    const result = parseSettings(text, 'instance.json');
    const findings = result.ok ? [] : result.findings;
    expect(findings.map((finding) => finding.pointer)).toEqual(pointers);
    expect(findings.every((finding) => finding.line !== undefined)).toBe(true);
  });

  test('accepts valid settings', () => {
    expect(parseSettings(JSON.stringify(valid), 'instance.json').ok).toBe(true);
  });
});
