import { credentials, experimental, ServerCredentials } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';
import { TlsFileProvider } from './TlsFileProvider.js';
import type { PeerTlsFiles } from './TlsFileProvider.js';

/** Interval of reading the TLS files again, in milliseconds. */
const REFRESH_MS = 5_000;

/**
 * Credentials for accepting and opening peer links: mutual TLS with files that are read again at intervals, or plain
 * text.
 */
export class PeerCredentials {
  readonly server: ServerCredentials;

  readonly channel: ChannelCredentials;

  /** False for plain text, which the settings allow only on loopback or in a trusted network. */
  readonly secure: boolean;

  /**
   * @param files - TLS files, which must be readable; undefined for plain text.
   * @param refreshMs - Interval of reading the files again, in milliseconds.
   */
  constructor(files: PeerTlsFiles | undefined, refreshMs = REFRESH_MS) {
    this.secure = files !== undefined;
    if (files === undefined) {
      this.server = ServerCredentials.createInsecure();
      this.channel = credentials.createInsecure();
      return;
    }
    const provider = new TlsFileProvider(files, refreshMs);
    this.server = experimental.createCertificateProviderServerCredentials(provider, provider, true);
    this.channel = experimental.createCertificateProviderChannelCredentials(provider, provider);
  }
}
