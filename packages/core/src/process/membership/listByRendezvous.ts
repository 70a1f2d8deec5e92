import * as crypto from 'node:crypto';

/** Bytes of the digest used as a score; 48 bits fit exactly into a JavaScript number. */
const SCORE_BYTES = 6;

/**
 * Computes the score of a candidate for a key in rendezvous hashing; the candidate with the highest score is chosen.
 * @param key - Key that a VM is chosen for, such as the name of a failure domain.
 * @param candidate - Name of a VM.
 * @returns A number in [0, 2^48).
 */
export function computeRendezvousScore(key: string, candidate: string): number {
  const digest = crypto.createHash('sha256').update(key).update('\0').update(candidate).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}

/**
 * Lists candidates in descending order of their score for a key. Nodes with different lists of VMs rank the VMs that
 * both lists contain in the same order.
 * @param key - Key that a VM is chosen for.
 * @param candidates - Names of VMs; the order does not matter.
 */
export function listByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((name) => ({ name, score: computeRendezvousScore(key, name) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);
}
