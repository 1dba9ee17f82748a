import {
  BundleStore,
  createPlatformClient,
  PlatformProtocolError,
  PlatformUnavailableError,
} from '@pollendrum/platform';
import type { BundleHead } from '@pollendrum/protocol';
import { BaseCommand, connectionFlags } from '../base-command';
import { ExitCode } from '../exit-codes';
import { collectFleetStatus } from '../fleet-status';
import { resolveConnection } from '../operator-client';
import { formatInstances } from '../reports/status-tables';

/** What the platform says is the newest bundle. */
type HeadAnswer =
  | { kind: 'head'; head: BundleHead }
  | { kind: 'none' }
  | { kind: 'unavailable'; reason: string }
  | { kind: 'not-asked' };

/** `bundle status` */
export class BundleStatus extends BaseCommand {
  static override summary =
    'Show the newest accepted bundle in the platform and the bundle in force on each instance.';
  static override examples = ['pollendrum bundle status --settings instance.json'];
  static override flags = connectionFlags;

  async run(): Promise<void> {
    const { flags } = await this.parse(BundleStatus);
    const client = this.createOperatorClient(flags);
    const platform = await readHead(resolveConnection(flags).platformUrl);
    const { instances, unreachable } = await collectFleetStatus(client);
    const bundles = instances.map(({ instanceId, bundle }) => ({ instanceId, bundle }));
    const text = `${describeHead(platform)}\n\n${formatInstances({ instances, unreachable })}`;
    this.printResult(flags.json, { platform, instances: bundles, unreachable }, text);
    if (platform.kind === 'unavailable') this.exit(ExitCode.unavailable);
  }
}

async function readHead(platformUrl: string | undefined): Promise<HeadAnswer> {
  if (platformUrl === undefined) return { kind: 'not-asked' };
  await using client = createPlatformClient({ url: platformUrl });
  const store = new BundleStore({ client, trustedOperators: [], requiredSignatures: 1 });
  try {
    const stored = await store.readHead();
    return stored === undefined ? { kind: 'none' } : { kind: 'head', head: stored.head };
  } catch (error) {
    const isKnown =
      error instanceof PlatformUnavailableError || error instanceof PlatformProtocolError;
    if (!isKnown) throw error;
    return { kind: 'unavailable', reason: error.message };
  }
}

function describeHead(answer: HeadAnswer): string {
  switch (answer.kind) {
    case 'head': {
      const { number, digest, acceptedBy, acceptedAtMs, signers } = answer.head;
      const acceptedAt = new Date(acceptedAtMs).toISOString();
      return `platform: bundle ${number} (${digest}), accepted by ${acceptedBy} at ${acceptedAt}, signed by ${signers.join(', ')}`;
    }
    case 'none':
      return 'platform: no bundle has been accepted yet';
    case 'unavailable':
      return `platform: does not answer (${answer.reason}); instances keep the bundle they have`;
    case 'not-asked':
      return 'platform: not asked; name it with --settings FILE or --platform-url URL';
  }
}
