#!/usr/bin/env node
// Links of this file are made at installation, before anything is built.
import {existsSync} from 'node:fs';

const MISSING_BUILD = 2;
const built = new URL('../dist/main.js', import.meta.url);

if (existsSync(built)) {
  await import(built.href);
} else {
  console.error('cardamomfield is not built yet: run "npm run build" first');
  process.exitCode = MISSING_BUILD;
}
