// Configurations with many routes.
const route = (number) => ({ name: `r-${String(number).padStart(7, '0')}`, database: `lepu${String(number).padStart(5, '0')}`, path_prefix: '/', route_type: 'primary', timeout_ms: 1000, target_latency_ms: 200, priority: 1, service: 'huvo11a', max_attempts: 2, public: false })

/** @returns a configuration; each version has another rate */
export function buildConfiguration (version, routes) {
  return {
    version,
    routes: Array.from({ length: routes }, (_, number) => route(number)),
    services: [{ name: 'huvo11a', health_path: '/health', max_connections: 50, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0, sync_replicas: 0 }],
    limits: { tx_idle_ms: 3000 },
    tenants: [{ name: 'nypu920', api_keys: ['u6wsjnbanfqasnmgkcuy'], priority: 1, rate_per_s: 80 + version, burst: 80 }]
  }
}
