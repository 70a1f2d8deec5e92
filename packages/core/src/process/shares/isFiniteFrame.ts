import type * as wire from '@tanagerpond/wire';
import type { ShareFrame } from './ShareFrame.js';

/**
 * Returns whether every number in a frame is finite and not negative. A NaN, infinite or negative number would corrupt
 * the token counts.
 * @param frame - Body of a frame.
 */
export function isFiniteFrame(frame: ShareFrame): boolean {
  switch (frame.case) {
    case 'shareRequest':
      return (
        hasAmounts(frame.value.wanted) &&
        frame.value.returned.every((returned) => hasAmounts(returned.parts))
      );
    case 'shareGrant':
      return (
        isAmount(frame.value.leaseMs) &&
        isAmount(frame.value.wholeShare) &&
        hasAmounts(frame.value.parts)
      );
    default:
      return hasAmounts(frame.value.parts);
  }
}

function hasAmounts(parts: readonly wire.SharePart[]): boolean {
  return parts.every(
    (part) => isAmount(part.capacity) && isAmount(part.level) && isAmount(part.left),
  );
}

function isAmount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
