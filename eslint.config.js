import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';
import onePerFile from './tools/eslint/one_export_per_file.js';

const AMBIENT = [
  'setTimeout',
  'setInterval',
  'setImmediate',
  'queueMicrotask',
  'performance',
  'process',
];

/** Code in src/core uses time, randomness and I/O only through interfaces. */
const coreRules = {
  'no-restricted-globals': ['error', ...AMBIENT],
  'no-restricted-properties': [
    'error',
    {object: 'Date', property: 'now', message: 'Pass a Clock.'},
    {object: 'Math', property: 'random', message: 'Pass a RandomSource.'},
  ],
  'no-restricted-syntax': [
    'error',
    {
      selector: "NewExpression[callee.name='Date'][arguments.length=0]",
      message: 'Pass a Clock.',
    },
    {selector: 'TSEnumDeclaration', message: 'Use a const object.'},
  ],
  'no-restricted-imports': ['error', {patterns: ['node:*', '**/adapter/**']}],
};

export default tseslint.config(
  {ignores: ['dist/**', 'target/**', 'node_modules/**']},
  eslint.configs.recommended,
  ...tseslint.configs.recommended,
  {
    files: ['src/**/*.ts', 'test-support/**/*.ts'],
    plugins: {local: {rules: {'one-export-per-file': onePerFile}}},
    rules: {
      'local/one-export-per-file': 'error',
      eqeqeq: 'error',
      curly: ['error', 'multi-line'],
      'no-var': 'error',
      'prefer-const': 'error',
      'prefer-arrow-callback': 'error',
      'max-lines': ['error', {max: 350}],
      'no-restricted-syntax': [
        'error',
        {selector: 'TSEnumDeclaration', message: 'Use a const object.'},
      ],
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
      ],
    },
  },
  {
    files: ['src/core/**/*.ts'],
    ignores: ['src/core/**/*.test.ts'],
    rules: coreRules,
  },
  {
    files: ['**/*.js'],
    languageOptions: {
      globals: {process: 'readonly', console: 'readonly', URL: 'readonly'},
    },
  },
);
