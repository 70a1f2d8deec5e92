/** One VM in the platform's list. */
export interface VmRecord {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Address of the peer listener of its node, as `IP:port`. */
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
  /** Number of requests that its backend server runs at the same time, if the list declares it. */
  readonly slots?: number;
  /** Identifies one start of its backend server, if the list tells. */
  readonly backendIncarnation?: string;
}

/** The VM that a node runs on. */
export interface VmIdentity {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Identifies one run of the process: 128 random bits in hexadecimal, generated at process start. */
  readonly incarnation: string;
}
