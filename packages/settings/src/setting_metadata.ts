/** What a setting's schema says about itself, next to its type. */
export interface SettingMetadata {
  /** What the setting controls. */
  description: string;
  /** The values that it takes, for people. */
  allowed: string;
}
