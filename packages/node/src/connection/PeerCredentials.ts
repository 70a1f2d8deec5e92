import { credentials, experimental, ServerCredentials } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';
import { TlsFileProvider } from './TlsFileProvider.js';
import type { PeerTlsFiles } from './TlsFileProvider.js';

/** Time between two looks at the TLS files, in milliseconds. */
const REFRESH_MS = 5_000;

/** Credentials of both ends of the peer links; mutual TLS with files that are read again when they change. */
export class PeerCredentials {
  readonly server: ServerCredentials;

  readonly channel: ChannelCredentials;

  /** False when the settings allow plain text, which they do on loopback only. */
  readonly secure: boolean;

  /**
   * @param files - TLS files; undefined for plain text.
   * @param refreshMs - Time between two looks at the files, in milliseconds.
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
