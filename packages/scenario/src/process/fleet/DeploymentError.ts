/** Thrown if the sections of a deployment do not form a valid bundle, or if a section to be changed does not exist. */
export class DeploymentError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'DeploymentError';
  }
}
