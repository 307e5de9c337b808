import { z } from 'zod'
import { address } from '../types/ids.js'
import { addressSchema } from './common-schema.js'

/** Settings of the operators' command line. `npm run docs:tables` generates docs/settings.md from this schema. */
export const operatorSettingsSchema = z.strictObject({
  control: z.array(addressSchema.transform(address)).min(1).optional().describe('Addresses at which the control instances serve operators; `--control` takes their place.'),
  credentialFile: z.string().min(1).optional().describe('File that holds the operator credential; `--credential-file` takes its place.'),
  authorityFile: z.string().min(1).optional().describe('PEM file of the authority that signed the certificates of the control instances; absent: plain HTTP. `--authority-file` takes its place.')
})

export type OperatorSettings = z.output<typeof operatorSettingsSchema>
