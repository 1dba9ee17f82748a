import { expect, test } from 'vitest';
import { createBundleEnvelope, verifyEnvelope } from '../src/index';
import { buildBundleText, signText, trustedOperators } from './operators';

const content = buildBundleText(1);
const ana = signText(content, 'ana');

// Guards against accepting bundles that too few operators signed.
test.each([
  {
    name: 'two operators',
    signatures: [ana, signText(content, 'bongi')],
    signers: ['ana', 'bongi'],
  },
  { name: 'one operator twice', signatures: [ana, ana], signers: ['ana'] },
  {
    name: 'a signature under another name',
    signatures: [ana, signText(content, 'ana', 'bongi')],
    signers: ['ana'],
  },
  {
    name: 'an unknown operator',
    signatures: [ana, signText(content, 'bongi', 'dora')],
    signers: ['ana'],
  },
  {
    name: 'a signature of other content',
    signatures: [ana, signText('{}', 'bongi')],
    signers: ['ana'],
  },
  { name: 'a malformed signature', signatures: [{ operator: 'ana', signature: '?' }], signers: [] },
  { name: 'no signature', signatures: [], signers: [] },
])('counts the trusted signers of $name', ({ signatures, signers }) => {
  const result = verifyEnvelope(createBundleEnvelope(content, signatures), trustedOperators, 2);
  expect(result.signers).toEqual(signers);
  expect(result.kind).toBe(signers.length >= 2 ? 'verified' : 'unverified');
});

// Guards against counting one person twice who is listed under two names with the same key.
test('counts two names with the same key once', () => {
  const anaKey = trustedOperators[0]?.publicKey ?? '';
  const operators = [...trustedOperators, { name: 'ana-2', publicKey: anaKey }];
  const envelope = createBundleEnvelope(content, [ana, signText(content, 'ana', 'ana-2')]);
  expect(verifyEnvelope(envelope, operators, 2)).toMatchObject({ kind: 'unverified' });
});
