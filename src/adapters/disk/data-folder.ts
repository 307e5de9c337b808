import { join } from 'node:path'

/** Files of a control member, all under its data folder. */
export interface DataFolderPaths {
  /** Created last on the first start; its presence means that the other files must be there. */
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
