/** Raised when a bundle cannot be built from the sections. */
export class DeploymentError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'DeploymentError';
  }
}
