import { createHash, createPublicKey, sign, verify } from 'node:crypto';
import type { BundleEnvelope, Signature, TrustedOperator } from '@pollendrum/protocol';

/** Result of verifyEnvelope. `signers` are the distinct trusted operators with a valid signature. */
export type VerifyResult =
  | { kind: 'verified'; signers: string[] }
  | { kind: 'unverified'; signers: string[]; requiredSignatures: number };

/** Creates an envelope around the exact text of a bundle. */
export function createBundleEnvelope(
  content: string,
  signatures: readonly Signature[] = [],
): BundleEnvelope {
  return { content, signatures: [...signatures] };
}

/** Hashes the content text with SHA-256, hex. */
export function hashContent(content: string): string {
  return createHash('sha256').update(content).digest('hex');
}

/**
 * Signs the content text with an operator's Ed25519 key.
 * @throws when privateKeyPem is not a PEM private key.
 */
export function signContent(content: string, operator: string, privateKeyPem: string): Signature {
  const signature = sign(null, Buffer.from(content), privateKeyPem);
  return { operator, signature: signature.toString('base64') };
}

/**
 * Counts the distinct trusted operators who signed the content. Two names with the same public key
 * count once, so that one person cannot sign off twice.
 */
export function verifyEnvelope(
  envelope: BundleEnvelope,
  trustedOperators: readonly TrustedOperator[],
  requiredSignatures: number,
): VerifyResult {
  const signerByKey = new Map<string, string>();
  for (const { operator, signature } of envelope.signatures) {
    for (const trusted of trustedOperators) {
      if (trusted.name !== operator) continue;
      const key = toKeyText(trusted.publicKey);
      if (key === undefined || signerByKey.has(key)) continue;
      if (isValidSignature(envelope.content, signature, trusted.publicKey)) {
        signerByKey.set(key, operator);
      }
    }
  }
  const signers = [...new Set(signerByKey.values())];
  if (signers.length >= Math.max(1, requiredSignatures)) return { kind: 'verified', signers };
  return { kind: 'unverified', signers, requiredSignatures };
}

function toKeyText(publicKeyPem: string): string | undefined {
  try {
    const key = createPublicKey(publicKeyPem);
    if (key.asymmetricKeyType !== 'ed25519') return undefined;
    return key.export({ type: 'spki', format: 'der' }).toString('base64');
  } catch {
    return undefined;
  }
}

function isValidSignature(content: string, signature: string, publicKeyPem: string): boolean {
  return verify(null, Buffer.from(content), publicKeyPem, Buffer.from(signature, 'base64'));
}
