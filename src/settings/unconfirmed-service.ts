import { SHARE_LEASE_MS } from '../decisions/limits/share-lease.js'
import type { PlatformSettings } from './platform-settings.js'

/**
 * Computes the time for which instances serve without a confirmation by control. Where operators let instances serve on, it is the time in
 * which a lost control instance is noticed and replaced, and the time in which a configuration reaches every instance. Entry and control
 * instances must get the same settings, since the leader counts shares of rates as held for as long.
 * @returns the time in milliseconds; the length of a share lease unless the settings allow more
 */
export function computeUnconfirmedServiceMs ({ unconfirmedServiceMs, failsClosed, contactMs, configurationApplyMs }: Pick<PlatformSettings, 'unconfirmedServiceMs' | 'failsClosed' | 'contactMs' | 'configurationApplyMs'>): number {
  if (unconfirmedServiceMs !== undefined) return unconfirmedServiceMs
  if (failsClosed !== false) return SHARE_LEASE_MS
  return Math.max(SHARE_LEASE_MS, (contactMs ?? 0) + (configurationApplyMs ?? 0))
}
