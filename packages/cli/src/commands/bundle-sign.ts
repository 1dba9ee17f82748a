import { existsSync } from 'node:fs';
import { Args, Flags } from '@oclif/core';
import { createBundleEnvelope, signContent } from '@pollendrum/platform';
import type { BundleEnvelope, Signature } from '@pollendrum/protocol';
import { BaseCommand } from '../base-command';
import { loadBundleFile, loadEnvelopeFile, writeJsonFile } from '../bundles/bundle-files';
import { ExitCode } from '../exit-codes';
import { readTextFile } from '../settings-file';

/** `bundle sign FILE` */
export class BundleSign extends BaseCommand {
  static override summary = 'Sign a bundle; a further operator signs with the same --out file.';
  static override examples = [
    'pollendrum bundle sign bundle-7.json --operator ana --key ana.pem --out bundle-7.signed.json',
  ];
  static override args = { file: Args.file({ required: true, description: 'bundle file' }) };
  static override flags = {
    operator: Flags.string({ required: true, description: 'name of the operator' }),
    key: Flags.file({ required: true, description: "file with the operator's private key" }),
    out: Flags.file({ required: true, description: 'file of the signed bundle, made or added to' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BundleSign);
    const { text, bundle } = loadBundleFile(args.file);
    const signature = this.createSignature(text, flags.operator, flags.key);
    const envelope = this.addSignature(text, flags.out, signature);
    writeJsonFile(flags.out, envelope);
    const signers = envelope.signatures.map((item) => item.operator);
    const summary = `bundle ${bundle.number} signed by ${signers.join(', ')} in ${flags.out}`;
    this.printResult(flags.json, { number: bundle.number, signers, file: flags.out }, summary);
  }

  private createSignature(text: string, operator: string, keyFile: string): Signature {
    const key = readTextFile(keyFile);
    try {
      return signContent(text, operator, key);
    } catch (error) {
      this.error(`${keyFile} holds no usable private key: ${String(error)}`, {
        exit: ExitCode.invalid,
      });
    }
  }

  private addSignature(text: string, file: string, signature: Signature): BundleEnvelope {
    if (!existsSync(file)) return createBundleEnvelope(text, [signature]);
    const existing = loadEnvelopeFile(file);
    if (existing.content !== text) {
      this.error(`${file} holds other content than the bundle file`, { exit: ExitCode.conflict });
    }
    const others = existing.signatures.filter((item) => item.operator !== signature.operator);
    return createBundleEnvelope(text, [...others, signature]);
  }
}
