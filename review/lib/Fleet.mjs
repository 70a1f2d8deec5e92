/** All nodes of one case, and their temporary folder. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Node } from './Node.mjs';

export class Fleet {
  static async create() {
    const fleet = new Fleet();
    fleet.folder = await mkdtemp(join(tmpdir(), 'review-'));
    fleet.nodes = [];
    return fleet;
  }

  add({ ip, service, zone = 'z1', ports, store, seeds = [] }) {
    const node = new Node({ ip, service, zone, ports, store, seeds, folder: this.folder });
    this.nodes.push(node);
    return node;
  }

  async dispose() {
    await Promise.all(this.nodes.map((node) => node.kill()));
    if (process.env.KEEP === undefined) {
      await rm(this.folder, { recursive: true, force: true });
    } else {
      process.stderr.write(`kept ${this.folder}\n`);
    }
  }
}
