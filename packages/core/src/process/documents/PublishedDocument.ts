/** Document that a source published, such as a configuration or a list of VMs. */
export interface PublishedDocument {
  /** Name of the document, the same at every node. */
  readonly name: string;
  /** Increases with each change; a greater revision replaces a smaller one. */
  readonly revision: number;
  /** Content in the format of the source; only the code that reads this source decodes it. */
  readonly content: string;
}
