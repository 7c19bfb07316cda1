import { main } from './cli/program';

void main(process.argv);
