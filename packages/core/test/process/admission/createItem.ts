import type { AdmissionItem } from '../../../src/process/admission/index.js';

/**
 * Creates an item of class 2 with a far deadline.
 * @param callId - Id of the call.
 * @param fields - Fields that differ.
 */
export function createItem(callId: string, fields: Partial<AdmissionItem> = {}): AdmissionItem {
  return {
    callId,
    workspace: 'norte',
    weight: 1,
    priority: 2,
    cost: 1,
    deadlineMs: 1e9,
    repeatable: true,
    suspect: false,
    arrivedMs: 0,
    ...fields,
  };
}
