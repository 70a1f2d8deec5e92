import { create } from '@bufbuild/protobuf';
import {
  AdmissionLevelSchema,
  WorkspaceFractionSchema,
  type AdmissionLevel as LevelFrame,
} from '@tanagerpond/wire';
import type { AdmissionLevel } from '../../process/backpressure/index.js';

/**
 * Creates the form in which an admission level travels on answers.
 * @param level - Level of one service.
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
