// Stand-in for the platform's store: the calls that PROTOCOL.md names, in memory.
import { createServer } from 'node:http';
import { NAMES } from './names.mjs';

const ANSWER_MS = 4;

export class Store {
  revision = 1;
  kinds = new Map();
  history = [];
  waiting = new Set();
  /** Called with each call; a returned string ('busy', 'reset', 'silent') replaces the answer. */
  judgeCall = () => undefined;

  constructor() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        setTimeout(() => this.#handle(request, response, Buffer.concat(chunks)), ANSWER_MS);
      });
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes an object as the operator or a server does; returns its revision. */
  put(kind, name, spec) {
    const objects = this.#getKind(kind);
    this.revision += 1;
    const created = objects.get(name)?.Metadata.Created ?? this.revision;
    const object = {
      Metadata: { Name: name, Revision: this.revision, Created: created, Finalizers: [] },
      Spec: spec,
      Status: {},
    };
    objects.set(name, object);
    this.#record(kind, object, false);
    return this.revision;
  }

  remove(kind, name) {
    const object = this.#getKind(kind).get(name);
    if (object === undefined) return;
    this.#getKind(kind).delete(name);
    this.revision += 1;
    const Metadata = { ...object.Metadata, Revision: this.revision };
    this.#record(kind, { ...object, Metadata }, true);
  }

  list(kind) {
    return [...this.#getKind(kind).values()];
  }

  #getKind(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  #record(kind, object, deleted) {
    this.history.push({
      kind,
      revision: this.revision,
      event: { Object: object, Deleted: deleted },
    });
    for (const wake of [...this.waiting]) wake();
  }

  #handle(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const [, root, kind, name, part] = url.pathname.split('/').map(decodeURIComponent);
    const verdict = this.judgeCall({ method: request.method, kind, name, url, request });
    if (verdict === 'silent') return;
    if (verdict === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    const send = (status, value) => {
      if (response.destroyed) return;
      const text = JSON.stringify(value ?? {});
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(text);
    };
    if (verdict === 'busy') return send(503);
    if (root !== 'objects') return send(404);
    const objects = this.#getKind(kind);
    const known = name === undefined ? undefined : objects.get(name);
    switch (request.method) {
      case 'GET':
        if (name !== undefined) return known ? send(200, known) : send(404);
        if (url.searchParams.has('Watch'))
          return this.#watch(kind, url.searchParams, send, response);
        return send(200, {
          Entries: [...objects.values()],
          [NAMES.hasMore]: false,
          [NAMES.asOf]: this.revision,
        });
      case 'POST': {
        const { Metadata, Spec } = JSON.parse(body);
        const existing = objects.get(Metadata.Name);
        if (existing) return send(409, existing);
        this.put(kind, Metadata.Name, Spec);
        return send(201, objects.get(Metadata.Name));
      }
      case 'PUT': {
        if (!known) return send(404);
        const { Metadata, Spec } = JSON.parse(body);
        const revision = Metadata?.Revision;
        if (revision !== undefined && revision !== known.Metadata.Revision) return send(409, known);
        const isSame = JSON.stringify(Spec) === JSON.stringify(known.Spec);
        if (part === undefined && !isSame) this.put(kind, name, Spec);
        return send(200, objects.get(name));
      }
      case 'DELETE':
        if (!known) return send(404);
        this.remove(kind, name);
        return send(200, known);
      default:
        return send(405);
    }
  }

  #watch(kind, params, send, response) {
    const after = Number(params.get('Watch'));
    const listEvents = () =>
      this.history
        .filter((entry) => entry.kind === kind && entry.revision > after)
        .map(({ event }) => event);
    const answer = () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
      send(200, { events: listEvents(), [NAMES.asOf]: this.revision });
    };
    const wake = () => {
      if (listEvents().length > 0) answer();
    };
    const timer = setTimeout(answer, Number(params.get('WaitMs') ?? 0));
    this.waiting.add(wake);
    response.once('close', () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
    });
    wake();
  }
}
