#!/usr/bin/env node
import { processTerminal, runCli } from '../process/index.js';

process.exitCode = await runCli(process.argv.slice(2), processTerminal);
