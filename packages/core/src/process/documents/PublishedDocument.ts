/** A document as its source published it, such as a configuration or a list of VMs. */
export interface PublishedDocument {
  /** Name that is the same at every node. */
  readonly name: string;
  /** Increases with each change; the greater one replaces the smaller one. */
  readonly revision: number;
  /** Content in the format of the source, which alone decodes it. */
  readonly content: string;
}
