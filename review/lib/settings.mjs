// Fills in the project's settings template the way the users' page DEPLOY.md describes it, and reads the commands of the deploy file.
import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const repositoryRoot = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** @returns the run command (a list of words) and the template text of a role of deploy/system.toml */
export function readRole (role) {
  const text = readFileSync(join(repositoryRoot, 'deploy/system.toml'), 'utf8')
  const section = text.split(/^\[/m).find((part) => part.startsWith(`roles.${role}]`))
  if (section === undefined) throw new Error(`the deploy file has no role ${role}`)
  const valueOf = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1]
  return { run: valueOf('run').split(' '), template: readFileSync(join(repositoryRoot, valueOf('template')), 'utf8') }
}

function lookUp (fields, path) {
  return path.split('.').reduce((value, key) => value === undefined || value === null ? undefined : value[key], fields)
}

/** Renders sections, inverted sections and the placeholders `{{a.b}}` and `{{a.b|json}}`, which are all that the project's template uses. */
export function renderTemplate (template, fields) {
  const withInverted = template.replace(/\{\{\^([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) => lookUp(fields, path) === undefined ? inner : '')
  const withSections = withInverted.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) => lookUp(fields, path) === undefined ? '' : inner)
  return withSections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = lookUp(fields, path)
    if (json !== undefined) return JSON.stringify(value ?? null)
    return value === undefined ? '' : String(value)
  })
}

/** @returns the settings fields of one process, with the bounds of the site kp-hosted */
export function buildFields ({ node, role, machineClass, zone, ip, ports, seeds, authority, dataFolder, bootstrap, tolerated }) {
  const isFront = machineClass === 'front'
  return {
    node,
    role,
    machine_class: machineClass,
    serves: isFront ? ['front'] : ['control'],
    ip,
    zone,
    region: 'kpp',
    zones: { 'moat-n': 'kpp', 'moat-s': 'kpp', 'river-w': 'kpp' },
    bind_addrs: isFront ? { front: `${ip}:${ports.front}`, readiness_addr: `${ip}:${ports.readiness}` } : { control: `${ip}:${ports.control}` },
    internal_ports: [ports.internal, ports.internal + 15],
    seeds: seeds.map((seed) => `${seed}:${ports.control}`),
    bootstrap,
    in_fault_budget: !isFront,
    limits: { cpu_share: 0.675, cores: 1, memory_mb: isFront ? 350 : 346, max_fds: 4200, link_mbps: 1000, disk_mb: isFront ? 0 : 128 },
    ...(isFront ? {} : { data_dir: dataFolder }),
    discovery: 'registry',
    entry: 'vip',
    heartbeat_ms: 1200,
    contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'tenants', 'quota', 'places'],
    fault_tolerance: { machines: tolerated, zones: 1, regions: 0 },
    bounds: { contact_ms: 4000, ack_ms: 5000, drain_ms: 7000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 3000, quota_overage: 0.1, quota_slack: 20, evacuate_ms: 5000, recovery_s: 12, require_fencing: true },
    config_mode: 'highest',
    cloud_api: { address: authority, rate_per_s: 50, duties: 'promotion', duty_per_s: 50 }
  }
}
