import { createHash, createPublicKey, sign, verify } from 'node:crypto';
import type { BundleEnvelope, Signature, TrustedOperator } from '@pollendrum/protocol';

/** Result of verifyEnvelope. `signers` lists the distinct trusted operators with a valid signature. */
export type VerifyResult =
  | { kind: 'verified'; signers: string[] }
  | { kind: 'unverified'; signers: string[]; requiredSignatures: number };

/** Wraps the exact text of a bundle and its signatures in an envelope. */
export function createBundleEnvelope(
  content: string,
  signatures: readonly Signature[] = [],
): BundleEnvelope {
  return { content, signatures: [...signatures] };
}

/** Returns the SHA-256 hash of the content as hex digits. */
export function hashContent(content: string): string {
  return createHash('sha256').update(content).digest('hex');
}

/**
 * Signs the content with an operator's Ed25519 key.
 * @throws Error when privateKeyPem is not a PEM private key.
 */
export function signContent(content: string, operator: string, privateKeyPem: string): Signature {
  const signature = sign(null, Buffer.from(content), privateKeyPem);
  return { operator, signature: signature.toString('base64') };
}

/**
 * Verifies the signatures and counts the distinct trusted operators who signed the content. Two
 * names with the same public key count once, so that one person cannot approve a bundle twice.
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
      const key = encodePublicKey(trusted.publicKey);
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

function encodePublicKey(publicKeyPem: string): string | undefined {
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
