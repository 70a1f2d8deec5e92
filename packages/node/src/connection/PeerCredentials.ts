import { credentials, experimental, ServerCredentials } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';

/** TLS files of the peer listener; PEM. */
export interface PeerTlsFiles {
  readonly certificate: string;
  readonly key: string;
  /** Certificates of the authorities that sign the nodes' certificates. */
  readonly authorities: string;
}

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
    const provider = new experimental.FileWatcherCertificateProvider({
      certificateFile: files.certificate,
      privateKeyFile: files.key,
      caCertificateFile: files.authorities,
      refreshIntervalMs: refreshMs,
    });
    this.server = experimental.createCertificateProviderServerCredentials(provider, provider, true);
    this.channel = experimental.createCertificateProviderChannelCredentials(provider, provider);
  }
}
