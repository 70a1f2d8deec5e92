import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import { defineConfig, globalIgnores } from 'eslint/config';

// Every rule set here departs from the Airbnb guide for a reason given in docs/style.md.
export default defineConfig([
  globalIgnores(['**/dist/**', '**/generated/**', 'results/**', 'target/**', 'journal/**']),
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      'import-x/extensions': ['error', 'ignorePackages', { js: 'always', ts: 'never' }],
      'import-x/prefer-default-export': 'off',
      'no-await-in-loop': 'off',
      'no-param-reassign': ['error', { props: true, ignorePropertyModificationsFor: ['call'] }],
      // The packages name the compiled files as their binaries.
      'n/hashbang': [
        'error',
        { convertPath: { 'src/**/*.ts': ['^src/(.+)\\.ts$', 'dist/$1.js'] } },
      ],
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-void': ['error', { allowAsStatement: true }],
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: true },
      ],
      'import-x/no-extraneous-dependencies': [
        'error',
        {
          devDependencies: ['**/test/**', 'eslint.config.mjs', 'scripts/**', 'platform/build/**'],
          packageDir: ['.'],
        },
      ],
    },
  },
  {
    files: ['**/bench/**'],
    rules: { 'no-console': 'off' },
  },
  {
    files: ['**/test/**'],
    rules: {
      'no-unused-expressions': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
]);
