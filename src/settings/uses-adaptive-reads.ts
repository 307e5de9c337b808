import type { PlatformSettings } from './platform-settings.js'

/**
 * Whether measured times decide which reads leave their failure domain. The default is off where whole failure domains are taken out of
 * service, since they return with databases that are slow at first.
 */
export function usesAdaptiveReads ({ crossDomainReads, failureDomainExitMs }: Pick<PlatformSettings, 'crossDomainReads' | 'failureDomainExitMs'>): boolean {
  return crossDomainReads === undefined ? failureDomainExitMs === undefined : crossDomainReads === 'adaptive'
}
