import { join } from 'node:path'

/** Paths of the files in the data folder of a control member. */
export interface DataFolderPaths {
  /** File with the member id. The first start creates it last, so where it exists the log must exist too. */
  member: string
  log: string
  snapshot: string
}

/** @param dataFolder - path of the data folder */
export function dataFolderPaths (dataFolder: string): DataFolderPaths {
  return {
    member: join(dataFolder, 'member-id'),
    log: join(dataFolder, 'control.log'),
    snapshot: join(dataFolder, 'control.snapshot')
  }
}
