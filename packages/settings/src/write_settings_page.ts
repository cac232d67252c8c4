/**
 * Writes docs/settings.md; run by
 * `npm run generate -w @cardamomfield/settings`.
 */
import {writeFileSync} from 'node:fs';
import {renderSettingsPage} from './render_settings_page.js';

const PAGE = new URL('../../../docs/settings.md', import.meta.url);

writeFileSync(PAGE, renderSettingsPage());
