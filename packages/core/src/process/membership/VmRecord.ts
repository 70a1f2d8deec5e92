/** One VM as the platform's list has it. */
export interface VmRecord {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  /** `IP:port` of the peer listener of its node. */
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
  /** Requests that its backend server runs at once, where the list says so. */
  readonly slots?: number;
}

/** The VM that a node runs on. */
export interface VmIdentity {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  /** 128 random bits in hexadecimal, drawn at process start. */
  readonly incarnation: string;
}
