import type { AdmissionItem } from '../../../src/process/admission/index.js';

/**
 * Creates an item of class 2 whose deadline is far in the future.
 * @param callId - Id of the call.
 * @param fields - Fields that replace the defaults.
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
