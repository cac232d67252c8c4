import {basename} from 'node:path';
import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

/** Paths and fields that are the platform's own. */
const PLATFORM_NAMES =
  '/^[^@]cardamomfield.|memory_request_mb|expires_ms|ack_cursor|fencing_token|cold_remaining_ms|^keyed[.]/';

const FILE_NAME = /^[a-z0-9]+(_[a-z0-9]+)*(\.test)?\.ts$/;

/** Reports files whose name is not lower snake case. */
const fileName = {
  create: context => ({
    Program(node) {
      const name = basename(context.filename);
      if (!FILE_NAME.test(name)) {
        context.report({node, message: `Rename ${name} to lower snake case.`});
      }
    },
  }),
};

/** Names that one export statement declares. */
function declaredNames(statement) {
  if (statement.type !== 'ExportNamedDeclaration') return [];
  const declaration = statement.declaration;
  if (!declaration) return statement.specifiers.map(s => s.exported.name);
  if (declaration.declarations) {
    return declaration.declarations.map(d => d.id.name);
  }
  return [declaration.id.name];
}

/** Reports a second exported name; a schema and its type share one name. */
const oneExport = {
  create: context => ({
    Program(node) {
      if (basename(context.filename) === 'index.ts') return;
      const names = new Set(node.body.flatMap(declaredNames));
      if (names.size > 1) {
        const list = [...names].join(', ');
        context.report({node, message: `Export one name a file, not ${list}.`});
      }
    },
  }),
};

export default tseslint.config(
  {ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**']},
  eslint.configs.recommended,
  ...tseslint.configs.recommended,
  prettier,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: {
      project: {rules: {'file-name': fileName, 'one-export': oneExport}},
    },
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'project/file-name': 'error',
      'project/one-export': 'error',
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-var': 'error',
      'prefer-const': 'error',
      'no-throw-literal': 'error',
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true}},
      ],
      '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
      '@typescript-eslint/consistent-type-assertions': [
        'error',
        {assertionStyle: 'as'},
      ],
      '@typescript-eslint/explicit-member-accessibility': [
        'error',
        {accessibility: 'no-public'},
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/only-throw-error': 'error',
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
          leadingUnderscore: 'allow',
        },
        {selector: 'function', format: ['camelCase']},
        {selector: 'classMethod', format: ['camelCase']},
        {
          selector: 'parameter',
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
      ],
    },
  },
  {
    // Only the adapter in platform/ knows the platform's names and paths.
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: `Literal[value=${PLATFORM_NAMES}]`,
          message: 'Names of the platform belong into platform/.',
        },
        {
          selector: `TemplateElement[value.raw=${PLATFORM_NAMES}]`,
          message: 'Names of the platform belong into platform/.',
        },
        {
          selector: `Property > Identifier.key[name=${PLATFORM_NAMES}]`,
          message: 'Names of the platform belong into platform/.',
        },
      ],
    },
  },
  {
    files: ['scripts/**', 'packages/*/bin/*.mjs', '*.mjs', '*.ts'],
    languageOptions: {
      globals: {process: 'readonly', console: 'readonly', URL: 'readonly'},
    },
  },
  {
    // Loaded without the module loader, to spare its time at each start.
    files: ['**/*.cjs'],
    languageOptions: {
      globals: {
        require: 'readonly',
        __filename: 'readonly',
        setTimeout: 'readonly',
      },
    },
    rules: {'@typescript-eslint/no-require-imports': 'off'},
  },
);
