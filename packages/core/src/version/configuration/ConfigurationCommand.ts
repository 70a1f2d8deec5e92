import type { Frame } from '@tanagerpond/wire';
import type { Bundle, BundleError } from '@tanagerpond/bundle';

const FRAME_CASES = [
  'manifestAnnouncement',
  'manifestRequest',
  'sectionRequest',
  'sectionReply',
] as const;

type ConfigurationBody = Extract<Frame['body'], { case: (typeof FRAME_CASES)[number] }>;

/** A frame that carries configuration between nodes. */
export type ConfigurationFrame = Frame & { readonly body: ConfigurationBody };

/** A command of the tracker to its node. */
export type ConfigurationCommand =
  /** Sends on the stream that this node opened to the peer. */
  | { readonly kind: 'sendRequest'; readonly peer: string; readonly frame: ConfigurationFrame }
  /** Sends on the stream that the peer opened. */
  | { readonly kind: 'sendReply'; readonly peer: string; readonly frame: ConfigurationFrame }
  /** Makes the bundle the active one. */
  | { readonly kind: 'adopt'; readonly bundle: Bundle }
  /** Reads the envelope from the configuration service once. */
  | { readonly kind: 'readService' }
  /** Starts a watch on the configuration service, or ends it. */
  | { readonly kind: 'watchService'; readonly enabled: boolean }
  /** Reports that a bundle from `source` (a VM name or `service`) was refused; the active version stays. */
  | { readonly kind: 'rejected'; readonly source: string; readonly error: BundleError };

/**
 * Returns whether a frame is for the tracker.
 * @param frame - Frame of a peer link.
 */
export function isConfigurationFrame(frame: Frame): frame is ConfigurationFrame {
  return FRAME_CASES.some((name) => name === frame.body.case);
}
