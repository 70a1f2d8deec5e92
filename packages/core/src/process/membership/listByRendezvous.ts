import * as crypto from 'node:crypto';

/** 48 bits of the digest fit a JavaScript number exactly. */
const SCORE_BYTES = 6;

/**
 * Computes the score of a candidate in rendezvous hashing; the greatest score wins.
 * @param key - What is being placed, such as a failure domain.
 * @param candidate - Name of a VM.
 * @returns A number in [0, 2^48).
 */
export function computeRendezvousScore(key: string, candidate: string): number {
  const digest = crypto.createHash('sha256').update(key).update('\0').update(candidate).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}

/**
 * Orders candidates by their score for a key, greatest first. Two views that share a candidate rank it alike.
 * @param key - What is being placed.
 * @param candidates - Names of VMs; the order does not matter.
 */
export function listByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((name) => ({ name, score: computeRendezvousScore(key, name) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);
}
