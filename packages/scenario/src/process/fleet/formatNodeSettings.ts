/** What the node beside one backend server is told. Addresses are `IP:port`. */
export interface NodePlan {
  readonly vm: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly platform: string;
  readonly backend: string;
  readonly publicKey: string;
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
 * Formats the settings file of a node.
 * @param plan - Identity and addresses of the node.
 */
export function formatNodeSettings(plan: NodePlan): string {
  return `[node]
vm = ${plan.vm}
service = ${plan.service}
failure-domain = ${plan.failureDomain}

[listeners]
caller = ${plan.listeners.caller}
egress = ${plan.listeners.egress}
peer = ${plan.listeners.peer}
admin = ${plan.listeners.admin}

[backend]
address = ${plan.backend}

[platform]
address = ${plan.platform}

[bundle]
trusted-keys = ${plan.publicKey}
`;
}
