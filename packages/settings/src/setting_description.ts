import type {SettingMetadata} from './setting_metadata.js';

/** A setting as shown in the documentation and by `--print-settings`. */
export interface SettingDescription extends SettingMetadata {
  /** Property of `EntrySettings`. */
  property: string;
  /** Flag without its dashes, for example `process-name`. */
  flag: string;
  /** Environment variable, for example `CARDAMOMFIELD_PROCESS_NAME`. */
  variable: string;
  kind: 'integer' | 'text' | 'list';
  isRequired: boolean;
  /** Default as text; undefined if there is none. */
  fallback: string | undefined;
}
