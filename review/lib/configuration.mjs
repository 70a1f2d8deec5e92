/** Builds the operators' configuration in the platform's format. */
export const HOST = 'hulo84.example';

/** Builds one route. */
export function buildRoute(name, fields = {}) {
  return {
    name,
    path_prefix: `/${name}/`,
    kind: 'safe',
    timeout: '6s',
    target_latency: '1.5s',
    priority: 2,
    service: 'alpha',
    max_attempts: 2,
    auth_exempt: false,
    ...fields,
  };
}

/** Builds the content of `op/config`. */
export function buildConfiguration({ version, services, tenants, routes, healthPath = '/health' }) {
  return JSON.stringify({
    config_version: version.toString(16).padStart(8, '0'),
    services: services.map((name) => ({
      name,
      health_path: healthPath,
      max_connections: 424,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout: '5s',
      idle_timeout: '30s',
    },
    tenants,
    virtual_hosts: [{ host: HOST, paths: routes }],
  });
}
