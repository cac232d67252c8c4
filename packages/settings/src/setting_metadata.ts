/** Metadata of a setting's schema, in addition to its type. */
export interface SettingMetadata {
  /** Purpose of the setting. */
  description: string;
  /** Human-readable description of the allowed values. */
  allowed: string;
}
