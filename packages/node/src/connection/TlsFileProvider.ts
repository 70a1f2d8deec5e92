import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';
import type { experimental } from '@grpc/grpc-js';

/** Paths of the TLS files of a node, in PEM format. */
export interface PeerTlsFiles {
  readonly certificate: string;
  readonly key: string;
  /** Certificates of the authorities that sign the certificates of the nodes. */
  readonly authorities: string;
}

interface TlsContent {
  readonly certificate: Buffer;
  readonly key: Buffer;
  readonly authorities: Buffer;
}

/**
 * Provides certificates from files that are read again at intervals. The provider of grpc-js drops every connection
 * until its first read is done and while the files are being replaced. This one reads the files when it is created and
 * keeps the last ones whose certificate and key match.
 */
export class TlsFileProvider implements experimental.CertificateProvider {
  readonly #files: PeerTlsFiles;

  readonly #authorityListeners = new Set<experimental.CaCertificateUpdateListener>();

  readonly #identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();

  #content: TlsContent;

  /**
   * Reads the files; throws when one cannot be read.
   * @param files - TLS files.
   * @param refreshMs - Interval of reading the files again, in milliseconds.
   */
  constructor(files: PeerTlsFiles, refreshMs: number) {
    this.#files = files;
    /* eslint-disable n/no-sync -- read once at the start, when the process has nothing else to do */
    this.#content = {
      certificate: readFileSync(files.certificate),
      key: readFileSync(files.key),
      authorities: readFileSync(files.authorities),
    };
    /* eslint-enable n/no-sync */
    setInterval(() => {
      void this.#refresh();
    }, refreshMs).unref();
  }

  addCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
    this.#authorityListeners.add(listener);
    process.nextTick(() => listener({ caCertificate: this.#content.authorities }));
  }

  removeCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
    this.#authorityListeners.delete(listener);
  }

  addIdentityCertificateListener(listener: experimental.IdentityCertificateUpdateListener): void {
    this.#identityListeners.add(listener);
    process.nextTick(() => listener(this.#buildIdentity()));
  }

  removeIdentityCertificateListener(
    listener: experimental.IdentityCertificateUpdateListener,
  ): void {
    this.#identityListeners.delete(listener);
  }

  async #refresh(): Promise<void> {
    try {
      const [certificate, key, authorities] = await Promise.all([
        readFile(this.#files.certificate),
        readFile(this.#files.key),
        readFile(this.#files.authorities),
      ]);
      this.#accept({ certificate, key, authorities });
    } catch {
      // Files that are missing or do not match, as while they are being replaced, are read again at the next interval.
    }
  }

  /** Uses new files and notifies the listeners; throws when the certificate and the key do not match. */
  #accept(content: TlsContent): void {
    const former = this.#content;
    const same = (['certificate', 'key', 'authorities'] as const).every((name) =>
      content[name].equals(former[name]),
    );
    if (same) {
      return;
    }
    createSecureContext({ cert: content.certificate, key: content.key, ca: content.authorities });
    this.#content = content;
    this.#authorityListeners.forEach((listener) =>
      listener({ caCertificate: content.authorities }),
    );
    this.#identityListeners.forEach((listener) => listener(this.#buildIdentity()));
  }

  #buildIdentity(): experimental.IdentityCertificateUpdate {
    return { certificate: this.#content.certificate, privateKey: this.#content.key };
  }
}
