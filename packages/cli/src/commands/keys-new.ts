import { createHash, generateKeyPairSync, randomBytes } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import { Args, Flags } from '@oclif/core';
import { BaseCommand } from '../base-command';

const KEY_BYTES = 32;
/** Readable by the owner only. */
const SECRET_FILE_MODE = 0o600;

/** `keys new operator|team|cluster` */
export class KeysNew extends BaseCommand {
  static override summary =
    'Make a key: an operator signing key, a team bearer key or a cluster key.';
  static override examples = [
    'pollendrum keys new operator --out ana.pem',
    'pollendrum keys new team',
    'pollendrum keys new cluster --out cluster.key',
  ];
  static override args = {
    kind: Args.string({
      required: true,
      options: ['operator', 'team', 'cluster'],
      description: 'kind of key',
    }),
  };
  static override flags = {
    out: Flags.file({ description: 'file for the secret; it must not exist yet', exists: false }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(KeysNew);
    const made = createKey(args.kind as KeyKind);
    if (flags.out !== undefined) {
      writeFileSync(flags.out, `${made.secret.trim()}\n`, { mode: SECRET_FILE_MODE, flag: 'wx' });
    }
    const shown = {
      kind: args.kind,
      ...made.publicPart,
      ...(flags.out === undefined ? { secret: made.secret } : { file: flags.out }),
    };
    const lines = Object.entries(shown).map(([name, value]) => `${name}: ${value.trim()}`);
    this.printResult(flags.json, shown, lines.join('\n'));
  }
}

type KeyKind = 'operator' | 'team' | 'cluster';

interface MadeKey {
  secret: string;
  publicPart: Record<string, string>;
}

function createKey(kind: KeyKind): MadeKey {
  switch (kind) {
    case 'operator': {
      const pair = generateKeyPairSync('ed25519');
      return {
        secret: pair.privateKey.export({ type: 'pkcs8', format: 'pem' }).toString(),
        publicPart: {
          publicKey: pair.publicKey.export({ type: 'spki', format: 'pem' }).toString(),
        },
      };
    }
    case 'team': {
      const secret = randomBytes(KEY_BYTES).toString('base64url');
      return {
        secret,
        publicPart: { keySha256: createHash('sha256').update(secret).digest('hex') },
      };
    }
    case 'cluster':
      return { secret: randomBytes(KEY_BYTES).toString('hex'), publicPart: {} };
  }
}
