import type {SettingMetadata} from './setting_metadata.js';

/** One setting as documentation and `--print-settings` show it. */
export interface SettingDescription extends SettingMetadata {
  /** Property of `EntrySettings`. */
  property: string;
  /** Flag without its dashes, for example `process-name`. */
  flag: string;
  /** Environment variable, for example `CARDAMOMFIELD_PROCESS_NAME`. */
  variable: string;
  kind: 'integer' | 'text' | 'list';
  isRequired: boolean;
  /** Default as text; undefined when there is none. */
  fallback: string | undefined;
}
