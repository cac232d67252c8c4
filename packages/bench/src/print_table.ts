/** Prints rows in aligned columns. The first row is the heading. */
export function printTable(title: string, rows: string[][]): void {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
  console.log(`\n${title}`);
  for (const row of rows) {
    console.log(
      row.map((cell, column) => cell.padStart(widths[column]!)).join('  '),
    );
  }
}
