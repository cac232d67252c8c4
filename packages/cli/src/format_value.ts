import {formatTable} from './format_table.js';

type Fields = Readonly<Record<string, unknown>>;

/**
 * Formats a JSON value for people: one line per plain field and a table for
 * each list of objects. It expects no particular fields, because the status of
 * newer entry hosts may have fields that this command does not define.
 */
export function formatValue(value: unknown, indent = ''): string[] {
  if (!isFields(value)) return [indent + formatCell(value)];
  return Object.entries(value).flatMap(([name, field]) => {
    if (Array.isArray(field) && field.length > 0 && field.every(isFields)) {
      const lines = formatRows(field).map(line => `${indent}  ${line}`);
      return [`${indent}${name}:`, ...lines];
    }
    if (isFields(field) && Object.keys(field).length > 0) {
      return [`${indent}${name}:`, ...formatValue(field, `${indent}  `)];
    }
    return [`${indent}${name}: ${formatCell(field)}`];
  });
}

function formatRows(rows: Fields[]): string[] {
  const heading = [...new Set(rows.flatMap(row => Object.keys(row)))];
  const cells = rows.map(row => heading.map(name => formatCell(row[name])));
  return formatTable(heading, cells);
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (Array.isArray(value) && value.length === 0) return 'none';
  if (Array.isArray(value) && !value.some(item => typeof item === 'object')) {
    return value.join(', ');
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
