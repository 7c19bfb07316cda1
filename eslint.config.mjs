import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

// Layers, top to bottom. A file may import from its own layer and from those below it only.
const layers = [
  'cli',
  'coordination',
  'suspicion',
  'admission',
  'bookkeeping',
  'protocol',
  'transport',
  'base',
];

// Lines are counted without blank ones and comments.
const sizeRules = {
  'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
  'max-lines-per-function': ['error', { max: 50, skipBlankLines: true, skipComments: true, IIFEs: true }],
  // Each `??` and `?.` counts as a branch.
  complexity: ['error', 12],
  'max-params': ['error', 4],
};

// A doc comment on each exported item, and an `@file` comment on each module.
const docRules = {
  'jsdoc/require-jsdoc': [
    'error',
    {
      publicOnly: true,
      checkConstructors: false,
      enableFixer: false,
      contexts: [
        'ClassDeclaration',
        'FunctionDeclaration',
        'TSEnumDeclaration',
        'TSInterfaceDeclaration',
        'TSTypeAliasDeclaration',
        'VariableDeclaration',
      ],
    },
  ],
  'jsdoc/require-file-overview': ['error', { tags: { file: { mustExist: true, preventDuplicates: true } } }],
};

// Words of the users' protocol, which end in `src/protocol/`: above it the code uses the terms of the glossary in
// docs/DESIGN.md.
const wireWords = [
  'nameId',
  'docket',
  'crew',
  'urgency',
  'pieces',
  'cards',
  'memGb',
  'frames',
  'frame',
  'yard',
  'yards',
  'loaners',
  'sizeGb',
  'reckonS',
  'bookmarkS',
  'stashS',
  'dueS',
  'standing',
  'awaits',
  'hearth',
  'hearths',
  'foreman',
  'baton',
  'tally',
  'warningS',
  'leewayS',
  'verb',
  'booking',
  'flavors',
  'stamp',
  'ledger',
];

// One word for each concept: `context` for injected services, `controller` or `peer` for a process of this service.
const nameRules = {
  'id-denylist': ['error', 'deps', ...wireWords],
  'no-restricted-syntax': [
    'error',
    {
      selector: 'VariableDeclarator > Identifier.id[name.length=1]',
      message: 'one-letter names only as parameters of arrow functions',
    },
    {
      selector: ':matches(FunctionDeclaration, FunctionExpression) > Identifier.params[name.length=1]',
      message: 'one-letter names only as parameters of arrow functions',
    },
  ],
};

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    languageOptions: {
      parserOptions: { projectService: { allowDefaultProject: ['eslint.config.mjs', 'test/load/run.mjs'] } },
    },
  },
  {
    files: ['src/**/*.ts', 'test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      eqeqeq: 'error',
    },
  },
  {
    files: ['test/**/*.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off', 'max-lines': sizeRules['max-lines'] },
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/**/*.d.ts'],
    plugins: { jsdoc },
    rules: { ...sizeRules, ...docRules },
  },
  {
    files: ['test/**/*.ts'],
    ignores: ['test/**/*.test.ts'],
    plugins: { jsdoc },
    rules: { 'jsdoc/require-file-overview': docRules['jsdoc/require-file-overview'] },
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/protocol/**', 'src/**/*.d.ts'],
    rules: nameRules,
  },
  ...layers.map((layer, depth) => ({
    files: [`src/${layer}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: [...layers.slice(0, depth).map((above) => `**/${above}/**`), '**/main'],
              message: 'imports point down only',
            },
          ],
        },
      ],
    },
  })),
);
