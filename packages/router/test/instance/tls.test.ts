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

// Made by `openssl req -x509 -newkey ec`: each file holds a key and a certificate signed by itself.
const FIRST_FILE = join(import.meta.dirname, 'first.pem');
const SECOND_FILE = join(import.meta.dirname, 'second.pem');
const first = readKeys(FIRST_FILE);
const second = readKeys(SECOND_FILE);
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

function readKeys(pemFile: string) {
  const text = readFileSync(pemFile, 'utf8');
  return { certificate: text, key: text, ca: text };
}

/** Status and certificate subject that a new connection sees; client keys are optional. */
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

// Guards against callers served in plain text, and against keys that only a restart replaces.
test('callers are served over TLS, with new keys after an update', async () => {
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

// Guards against a file of authorities that is read but not enforced.
test('with authorities only callers with a signed certificate are served', async () => {
  await using harness = await createHarness([], { callerTls: first });
  const { port } = harness.entry;
  expect(await requestLivez(port, first.ca, first)).toMatchObject({ status: 200 });
  await expect(requestLivez(port, first.ca)).rejects.toThrow();
  await expect(requestLivez(port, first.ca, second)).rejects.toThrow();
});

// Guards against a half-written or wrong file that takes down a running instance, and against silence.
test.each([
  { broken: 'no PEM text' },
  { broken: '' },
  {
    broken: `${second.key.split('-----BEGIN CERT')[0] ?? ''}${first.certificate.slice(first.certificate.indexOf('-----BEGIN CERT'))}`,
  },
])('a broken file keeps the earlier keys, a good one replaces them ($#)', async ({ broken }) => {
  const errors: string[] = [];
  const discard = () => undefined;
  const log = {
    error: (text: string) => errors.push(text),
    warn: discard,
    info: discard,
    debug: discard,
  };
  const files = { certificateFile: file, keyFile: file };
  using watcher = new TlsFileWatcher({ files, setting: 'callerTls', log, pollMs: 10 });
  const names: string[] = [];
  watcher.watchCredentials((keys) => names.push(keys.certificate));
  writeFileSync(file, broken);
  await expect.poll(() => errors.length).toBe(1);
  expect(watcher.credentials.certificate).toBe(first.certificate);
  copyFileSync(SECOND_FILE, file);
  utimesSync(file, new Date(), new Date(Date.now() + 5_000));
  await expect.poll(() => names.at(-1)).toBe(second.certificate);
  expect(watcher.credentials.certificate).toBe(second.certificate);
});

// Guards against links that take any certificate, and against unreadable files at the start.
test('links need the same authority on both sides', async () => {
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

// Guards against keys of links that only a restart replaces, on the dialing and on the accepting side.
test('links use new keys after an update', async () => {
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

// Guards against an instance that starts without the keys that its settings name.
test('an unusable file at the start is an error', () => {
  const discard = () => undefined;
  const log = { error: discard, warn: discard, info: discard, debug: discard };
  const files = { certificateFile: file, keyFile: join(directory, 'missing.pem') };
  expect(() => new TlsFileWatcher({ files, setting: 'peerTls', log })).toThrow(/ENOENT/);
});
