#!/usr/bin/env node
import { runNode } from './runNode.js';

process.exitCode = await runNode(process.argv);
