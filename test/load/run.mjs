// Builds the controllers and a program of this directory, and runs the program: node test/load/run.mjs NAME [OPTION...]
import { spawnSync } from 'node:child_process';
import process from 'node:process';
import { build } from 'esbuild';

const OUT = 'target/load';
const [name = 'main', ...options] = process.argv.slice(2);
const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  loader: { '.proto': 'text' },
  logLevel: 'warning',
};

await build({
  ...common,
  entryPoints: ['src/main.ts', 'src/cli/program.ts', 'src/cli/tracing.ts'],
  entryNames: '[name]',
  outdir: OUT,
});
const outfile = `${OUT}/${name}.mjs`;
await build({
  ...common,
  entryPoints: [`test/load/${name}.ts`],
  format: 'esm',
  banner: { js: "import{createRequire}from'node:module';const require=createRequire(import.meta.url);" },
  outfile,
});
const { status } = spawnSync(process.execPath, [outfile, ...options], { stdio: 'inherit' });
process.exitCode = status ?? 1;
