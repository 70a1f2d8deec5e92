/** Settings of the node beside one backend server. Addresses are `IP:port`. */
export interface NodePlan {
  readonly vm: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly platform: string;
  readonly backend: string;
  /** Raw Ed25519 public key in base64url. */
  readonly publicKey: string;
  readonly logLevel: 'warn' | 'debug';
  /** Listener addresses; a restarted node gets those of its earlier start, so that peers and callers still reach it. */
  readonly listeners: Readonly<Record<ListenerName, string>>;
}

export type ListenerName = 'caller' | 'egress' | 'peer' | 'admin';

/** Listener addresses for a first start, at which the operating system chooses free ports. */
export const FREE_LISTENERS: Readonly<Record<ListenerName, string>> = {
  caller: '127.0.0.1:0',
  egress: '127.0.0.1:0',
  peer: '127.0.0.1:0',
  admin: '127.0.0.1:0',
};

/**
 * Formats the settings file of a node. The format is described in `packages/node/examples/node.ini`.
 * @param plan - Identity and addresses of the node.
 */
export function formatNodeSettings(plan: NodePlan): string {
  return `[vm]
name = ${plan.vm}
service = ${plan.service}
failure-domain = ${plan.failureDomain}

[listen]
caller = ${plan.listeners.caller}
egress = ${plan.listeners.egress}
peer = ${plan.listeners.peer}
admin = ${plan.listeners.admin}

[backend]
address = ${plan.backend}

[platform]
address = ${plan.platform}

[trust]
signing-keys = ${plan.publicKey}

[log]
level = ${plan.logLevel}

[tls]
plain-text = yes
`;
}
