import tseslint from 'typescript-eslint';
import prettier from 'eslint-config-prettier';

// docs/verbs.md explains the list; a function or method name begins with one of these.
// prettier-ignore
const verbs = [
  'accept', 'add', 'adopt', 'advance', 'announce', 'append', 'apply', 'assert', 'build',
  'cancel', 'catch', 'check', 'choose', 'claim', 'clear', 'close', 'collect', 'commit',
  'compare', 'compute', 'connect', 'count', 'crash', 'create', 'debug', 'decode', 'describe',
  'diff', 'discard', 'drain', 'eject', 'emit', 'encode', 'end', 'enqueue', 'error', 'estimate',
  'evict', 'expire', 'explain', 'fail', 'fetch', 'find', 'finish', 'flush', 'format', 'gauge',
  'generate', 'get', 'grant', 'handle', 'has', 'hash', 'increment', 'index', 'info', 'inject',
  'is', 'join', 'judge', 'list', 'load', 'make', 'mark', 'measure', 'merge', 'normalize', 'notify',
  'observe', 'open', 'parse', 'pick', 'print', 'probe', 'propose', 'publish', 'put', 'read',
  'record', 'refresh', 'reject', 'release', 'remove', 'render', 'replace', 'report', 'request',
  'reset', 'resolve', 'resume', 'retry', 'revoke', 'route', 'run', 'sample', 'scale', 'schedule',
  'select', 'send', 'serve', 'set', 'settle', 'shed', 'sign', 'simulate', 'sort', 'spawn',
  'split', 'start', 'stop', 'stream', 'summarize', 'sweep', 'take', 'timing', 'to', 'update',
  'validate', 'verify', 'wait', 'warn', 'watch', 'withdraw', 'write',
];
const verbPattern = `^_?(${verbs.join('|')}|constructor)([A-Z0-9].*)?$`;

export default tseslint.config(
  { ignores: ['dist/', 'target/', '**/node_modules/', '**/generated/', '**/*.mjs'] },
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: ['function', 'classMethod'],
          format: ['camelCase'],
          leadingUnderscore: 'allow',
          custom: { regex: verbPattern, match: true },
        },
        { selector: 'typeLike', format: ['PascalCase'] },
      ],
      // A resource that is only held until the end of its block is used by being disposed of.
      '@typescript-eslint/no-unused-vars': ['error', { ignoreUsingDeclarations: true }],
      'max-lines': ['error', { max: 500, skipBlankLines: true }],
    },
  },
  {
    files: ['packages/cli/src/commands/**'],
    rules: { '@typescript-eslint/class-methods-use-this': 'off' },
  },
);
