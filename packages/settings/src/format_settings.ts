import {describeSettings} from './describe_settings.js';
import type {EntrySettings} from './entry_settings.js';

/** Formats the effective settings for `--print-settings`, one per line. */
export function formatSettings(settings: EntrySettings): string {
  const values: Readonly<Record<string, unknown>> = settings;
  const lines = describeSettings().map(
    ({flag, property}) => `--${flag}=${formatValue(values[property])}`,
  );
  return lines.join('\n');
}

function formatValue(value: unknown): string {
  if (!Array.isArray(value)) return String(value ?? '');
  const peers = value as EntrySettings['peers'];
  return peers
    .map(({name, address, port}) => {
      const host = address.includes(':') ? `[${address}]` : address;
      return `${name}=${host}:${port}`;
    })
    .join(',');
}
