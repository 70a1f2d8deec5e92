import { create } from '@bufbuild/protobuf';
import {
  AdmissionLevelSchema,
  WorkspaceFractionSchema,
  type AdmissionLevel as LevelFrame,
} from '@tanagerpond/wire';
import type { AdmissionLevel } from '../../process/backpressure/index.js';

/**
 * Encodes the admission level of a service, which nodes attach to answers and refusals as backpressure.
 * @param level - Level to encode.
 */
export function encodeAdmissionLevel(level: AdmissionLevel): LevelFrame {
  const { service, lowestClass, fraction, workspaces = [] } = level;
  return create(AdmissionLevelSchema, {
    service,
    lowestClass,
    fraction,
    workspaces: workspaces.map((entry) => create(WorkspaceFractionSchema, entry)),
  });
}
