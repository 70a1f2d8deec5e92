import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as bundle from '@tanagerpond/bundle';
import { DeploymentError } from './DeploymentError.js';
import { setSectionValue } from './setSectionValue.js';

/** Identity of one VM of the deployment, known before the VM is started. */
export interface PlannedVm {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
}

export interface DeploymentOptions {
  /** Folder with the four INI files of the bundle. */
  readonly folder: string;
  readonly vmsPerService: number;
  readonly failureDomains: number;
}

/** File that contains the sections of each kind, by the first word of the section header. */
const FILE_OF_KIND: Readonly<Record<string, bundle.SectionFile>> = {
  fleet: 'fleet.ini',
  workspace: 'workspaces.ini',
  service: 'services.ini',
  route: 'routes.ini',
};

/** Bundle, caller keys and planned VMs of one run. Caller keys and the signing key exist only in this process. */
export class Deployment {
  readonly vms: readonly PlannedVm[];

  readonly publicKey: string;

  readonly #privateKey: string;

  readonly #keys = new Map<string, string>();

  #texts: bundle.SectionTexts;

  #version = 0;

  #bundle: bundle.Bundle;

  private constructor(
    texts: bundle.SectionTexts,
    keys: bundle.SigningKeys,
    options: DeploymentOptions,
  ) {
    this.#texts = texts;
    this.publicKey = keys.publicKey;
    this.#privateKey = keys.privateKey;
    this.#bundle = buildOrThrow(this.#texts);
    this.#bundle.workspaces.forEach((workspace) => {
      if (!workspace.open || workspace.keyDigests.length > 0) {
        this.replaceKey(workspace.name);
      }
    });
    this.vms = planVms([...this.#bundle.services.keys()], options);
  }

  /**
   * Loads the section files of a folder and creates a signing key pair and caller keys for the run.
   * @throws DeploymentError if the sections do not form a valid bundle, and the file system's error if a file cannot be
   * read.
   */
  static async load(options: DeploymentOptions): Promise<Deployment> {
    const texts = Object.fromEntries(
      await Promise.all(
        bundle.SECTION_FILES.map(async (file) => [
          file,
          await fs.readFile(path.join(options.folder, file), 'utf8'),
        ]),
      ),
    ) as unknown as bundle.SectionTexts;
    return new Deployment(texts, await bundle.generateSigningKeys(), options);
  }

  /** Bundle built from the current sections, which may not have been signed yet. */
  get bundle(): bundle.Bundle {
    return this.#bundle;
  }

  /** Version of the last signed bundle; 0 before the first one. */
  get version(): number {
    return this.#version;
  }

  /**
   * Finds the caller key of a workspace; undefined for a workspace without keys, which is used for open routes only.
   */
  findKey(workspace: string): string | undefined {
    return this.#keys.get(workspace);
  }

  /**
   * Replaces the caller key of a workspace. The old key stops working once the next version is published and applied.
   */
  replaceKey(workspace: string): void {
    const key = bundle.createKey();
    this.#keys.set(workspace, key);
    this.setValue(`workspace ${workspace}`, 'key-digests', bundle.digestKey(key));
  }

  /**
   * Sets one value in the sections.
   * @throws DeploymentError if the section does not exist or the bundle would become invalid; the value is not set
   * then.
   */
  setValue(section: string, key: string, value: string): void {
    const file = FILE_OF_KIND[section.split(' ')[0] ?? ''];
    const text = file && setSectionValue(this.#texts[file], section, key, value);
    if (file === undefined || text === undefined) {
      throw new DeploymentError(`no section [${section}] in the deployment`);
    }
    const texts = { ...this.#texts, [file]: text };
    this.#bundle = buildOrThrow(texts);
    this.#texts = texts;
  }

  /**
   * Signs the current sections as the next version and returns the envelope.
   * @throws DeploymentError if the bundle cannot be signed.
   */
  sign(): string {
    this.#version += 1;
    const signed = bundle.signBundle(this.#texts, {
      version: this.#version,
      signedAt: new Date(),
      privateKey: this.#privateKey,
    });
    if (signed.isErr) {
      throw new DeploymentError(bundle.describeBundleError(signed.error));
    }
    return signed.value;
  }
}

function buildOrThrow(texts: bundle.SectionTexts): bundle.Bundle {
  const digest = crypto.createHash('sha256').update(JSON.stringify(texts)).digest('hex');
  const built = bundle.buildBundle(1, digest, texts);
  if (built.isErr) {
    throw new DeploymentError(bundle.describeBundleError(built.error));
  }
  return built.value;
}

function planVms(services: readonly string[], options: DeploymentOptions): readonly PlannedVm[] {
  return services.flatMap((service, serviceIndex) =>
    Array.from({ length: options.vmsPerService }, (_, index) => ({
      name: `${service}-${index + 1}`,
      service,
      failureDomain: `domain-${((index + serviceIndex) % options.failureDomains) + 1}`,
    })),
  );
}
