import {z} from 'zod';
import {EntrySettings} from './entry_settings.js';
import type {SettingDescription} from './setting_description.js';
import type {SettingMetadata} from './setting_metadata.js';

const VARIABLE_PREFIX = 'CARDAMOMFIELD_';

/** All settings in the order of the schema. */
export function describeSettings(): SettingDescription[] {
  return Object.entries(EntrySettings.in.shape).map(([property, schema]) =>
    describeSetting(property, schema),
  );
}

function describeSetting(
  property: string,
  schema: z.ZodType,
): SettingDescription {
  const metadata = schema.meta() as unknown as SettingMetadata;
  const words = property.replace(/[A-Z]/g, letter => ` ${letter}`).split(' ');
  const inner = unwrapSchema(schema);
  return {
    property,
    flag: words.join('-').toLowerCase(),
    variable: VARIABLE_PREFIX + words.join('_').toUpperCase(),
    kind: kindOf(inner),
    isRequired: inner === schema,
    fallback: fallbackOf(schema),
    description: metadata.description,
    allowed: metadata.allowed,
  };
}

/** Removes the default or optional wrapper of a schema. */
function unwrapSchema(schema: z.ZodType): z.ZodType {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
    return schema.unwrap() as z.ZodType;
  }
  return schema;
}

function kindOf(schema: z.ZodType): SettingDescription['kind'] {
  if (schema instanceof z.ZodArray) return 'list';
  if (schema instanceof z.ZodNumber) return 'integer';
  return 'text';
}

function fallbackOf(schema: z.ZodType): string | undefined {
  if (!(schema instanceof z.ZodDefault)) return undefined;
  return String(schema.def.defaultValue);
}
