/** What the node beside one backend server is told. Addresses are `IP:port`. */
export interface NodePlan {
  readonly vm: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly platform: string;
  readonly backend: string;
  /** Raw Ed25519 public key in base64url. */
  readonly publicKey: string;
  readonly logLevel: 'warn' | 'debug';
  /** Addresses of an earlier start, so that a restarted node is found where it was. */
  readonly listeners: Readonly<Record<ListenerName, string>>;
}

export type ListenerName = 'caller' | 'egress' | 'peer' | 'admin';

/** Free ports for a first start. */
export const FREE_LISTENERS: Readonly<Record<ListenerName, string>> = {
  caller: '127.0.0.1:0',
  egress: '127.0.0.1:0',
  peer: '127.0.0.1:0',
  admin: '127.0.0.1:0',
};

/**
 * Formats the settings file of a node, as `packages/node/examples/node.ini` describes it.
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
