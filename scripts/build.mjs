// Bundles the entry points to one CommonJS file each; with --binary also makes dist/pollendrum, with --target
// only the program for the users' platform. --folder sets where the files go, dist by default.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const entryPoints = {
  pollendrum: 'packages/cli/src/main.ts',
  'stand-ins': 'packages/stand-ins/src/main.ts',
  bench: 'packages/bench/src/main.ts',
};

const platformEntryPoints = { gateway: 'platform/src/main.ts' };

export async function bundle(entries = entryPoints, folder = 'dist', define = {}) {
  mkdirSync(folder, { recursive: true });
  for (const [name, entry] of Object.entries(entries)) {
    if (!existsSync(entry)) continue;
    await build({
      entryPoints: [entry],
      outfile: `${folder}/${name}.cjs`,
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'cjs',
      sourcemap: false,
      logLevel: 'error',
      // Native parts that the libraries replace by JavaScript, and a compiler that oclif only uses in development.
      external: ['unix-dgram', 'cbor-extract', 'typescript'],
      // jsonc-parser's main file resolves its parts at run time, which a bundle cannot follow.
      mainFields: ['module', 'main'],
      define: { 'import.meta.url': '__bundleUrl', ...define },
      banner: {
        // In a single executable the given require only loads built-in modules and warns about others.
        js: 'require = require("node:module").createRequire(__filename);const __bundleUrl = require("node:url").pathToFileURL(__filename).href;',
      },
    });
  }
}

/** In a single executable native parts cannot be linked on all architectures, so that it uses their JavaScript. */
const binaryDefine = { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' };

async function makeBinary(folder) {
  await bundle({ executable: entryPoints.pollendrum }, folder, binaryDefine);
  const config = `${folder}/sea-config.json`;
  writeFileSync(
    config,
    JSON.stringify({
      main: `${folder}/executable.cjs`,
      output: `${folder}/pollendrum.blob`,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ['--experimental-sea-config', config], { stdio: 'inherit' });
  copyFileSync(process.execPath, `${folder}/pollendrum`);
  chmodSync(`${folder}/pollendrum`, 0o755);
  execFileSync(
    process.execPath,
    [
      'node_modules/postject/dist/cli.js',
      `${folder}/pollendrum`,
      'NODE_SEA_BLOB',
      `${folder}/pollendrum.blob`,
      '--sentinel-fuse',
      'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
    ],
    { stdio: 'inherit' },
  );
}

if (process.argv[1]?.endsWith('build.mjs')) {
  const folderIndex = process.argv.indexOf('--folder');
  const folder = folderIndex < 0 ? 'dist' : process.argv[folderIndex + 1];
  if (process.argv.includes('--target')) await bundle(platformEntryPoints, 'target');
  else await bundle(entryPoints, folder);
  if (process.argv.includes('--binary')) await makeBinary(folder);
}
