import js from '@eslint/js';
import tseslint from 'typescript-eslint';

// Layers, top to bottom. A file may import from its own layer and from those below it only.
const layers = ['cli', 'coordination', 'bookkeeping', 'protocol', 'transport', 'base'];

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    languageOptions: { parserOptions: { projectService: { allowDefaultProject: ['eslint.config.mjs'] } } },
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
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
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
