import {
  copyFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import { request } from 'node:https';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TLSSocket } from 'node:tls';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { TlsFileWatcher } from '../../src/instance/tls-file-watcher';
import { createHarness } from '../entry/fakes';
import { startPeer } from '../link/link-fixture';
import type { PortTable } from '../link/link-fixture';

// Created with `openssl req -x509 -newkey ec`. Each file contains a key and a self-signed certificate.
const FIRST_FILE = join(import.meta.dirname, 'first.pem');
const SECOND_FILE = join(import.meta.dirname, 'second.pem');
const first = readCredentials(FIRST_FILE);
const second = readCredentials(SECOND_FILE);
const WITHDRAW = { kind: 'withdraw', attemptId: 'a1' } as const;

let directory: string;
let file: string;

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'pollendrum-keys-'));
  file = join(directory, 'keys.pem');
  copyFileSync(FIRST_FILE, file);
});

afterEach(() => {
  rmSync(directory, { recursive: true });
});

function readCredentials(pemFile: string) {
  const text = readFileSync(pemFile, 'utf8');
  return { certificate: text, key: text, ca: text };
}

/** Requests /livez on a new connection. Returns the status and the common name of the server certificate. */
async function requestLivez(port: number, ca: string, client?: typeof first) {
  return await new Promise<{ status: number | undefined; name: unknown }>((resolve, reject) => {
    const keys = client === undefined ? {} : { cert: client.certificate, key: client.key };
    const options = { host: '127.0.0.1', port, path: '/livez', ca, agent: false, ...keys };
    const sent = request(options, (response) => {
      const name = (response.socket as TLSSocket).getPeerCertificate().subject.CN;
      response.resume();
      resolve({ status: response.statusCode, name });
    });
    sent.on('error', reject);
    sent.end();
  });
}

// Guards against callers served over plain TCP, and against credentials that change only on a restart.
test('callers are served over TLS, with new credentials after an update', async () => {
  const { certificate, key } = first;
  await using harness = await createHarness([], { callerTls: { certificate, key } });
  const { port } = harness.entry;
  const seen = await requestLivez(port, first.ca);
  expect(seen).toEqual({ status: 200, name: 'pollendrum-test-1' });
  harness.entry.updateTls({ certificate: second.certificate, key: second.key });
  const seenLater = await requestLivez(port, second.ca);
  expect(seenLater).toEqual({ status: 200, name: 'pollendrum-test-2' });
  await expect(fetch(`http://127.0.0.1:${port}/livez`)).rejects.toThrow();
  expect(await requestLivez(port, second.ca)).toMatchObject({ status: 200 });
});

// Guards against a CA file that is read but not enforced.
test('with a CA only callers with a certificate signed by it are served', async () => {
  await using harness = await createHarness([], { callerTls: first });
  const { port } = harness.entry;
  expect(await requestLivez(port, first.ca, first)).toMatchObject({ status: 200 });
  await expect(requestLivez(port, first.ca)).rejects.toThrow();
  await expect(requestLivez(port, first.ca, second)).rejects.toThrow();
});

// Guards against a truncated or wrong file that stops a running instance or is ignored without an error log.
test.each([
  { broken: 'no PEM text' },
  { broken: '' },
  {
    broken: `${second.key.split('-----BEGIN CERT')[0] ?? ''}${first.certificate.slice(first.certificate.indexOf('-----BEGIN CERT'))}`,
  },
])(
  'an invalid file keeps the previous credentials, a valid one replaces them ($#)',
  async ({ broken }) => {
    const errors: string[] = [];
    const discard = () => undefined;
    const log = {
      error: (text: string) => errors.push(text),
      warn: discard,
      info: discard,
      debug: discard,
    };
    const files = { certificateFile: file, keyFile: file };
    using watcher = new TlsFileWatcher({ files, setting: 'callerTls', log, pollIntervalMs: 10 });
    const certificates: string[] = [];
    watcher.watchCredentials((credentials) => certificates.push(credentials.certificate));
    writeFileSync(file, broken);
    await expect.poll(() => errors.length).toBe(1);
    expect(watcher.credentials.certificate).toBe(first.certificate);
    copyFileSync(SECOND_FILE, file);
    utimesSync(file, new Date(), new Date(Date.now() + 5_000));
    await expect.poll(() => certificates.at(-1)).toBe(second.certificate);
    expect(watcher.credentials.certificate).toBe(second.certificate);
  },
);

// Guards against links that accept any certificate.
test('links require the same CA on both sides', async () => {
  const ports: PortTable = new Map();
  await using a = await startPeer('a', ports, { tls: first });
  await using b = await startPeer('b', ports, { tls: first });
  await using c = await startPeer('c', ports, { tls: second });
  a.task.sendMessage('b', WITHDRAW);
  await expect.poll(() => b.received).toEqual([WITHDRAW]);
  c.task.sendMessage('a', WITHDRAW);
  await expect.poll(() => c.lost, { timeout: 5_000 }).toContain('a');
  a.task.sendMessage('c', WITHDRAW);
  await expect.poll(() => a.lost, { timeout: 5_000 }).toContain('c');
  expect([a.received, c.received]).toEqual([[], []]);
});

// Guards against link credentials that change only on a restart, on the connecting or the accepting side.
test('links use new credentials after an update', async () => {
  const ports: PortTable = new Map();
  await using a = await startPeer('a', ports, { tls: first });
  await using b = await startPeer('b', ports, { tls: second });
  a.task.updateTls(second);
  a.task.sendMessage('b', WITHDRAW);
  await expect.poll(() => b.received).toEqual([WITHDRAW]);
  await using c = await startPeer('c', ports, { tls: second });
  c.task.sendMessage('a', WITHDRAW);
  await expect.poll(() => a.received).toEqual([WITHDRAW]);
});

// Guards against an instance that starts without the credentials that its settings require.
test('a missing file at the start is an error', () => {
  const discard = () => undefined;
  const log = { error: discard, warn: discard, info: discard, debug: discard };
  const files = { certificateFile: file, keyFile: join(directory, 'missing.pem') };
  expect(() => new TlsFileWatcher({ files, setting: 'peerTls', log })).toThrow(/ENOENT/);
});
