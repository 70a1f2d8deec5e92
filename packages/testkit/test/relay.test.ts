import { once } from 'node:events';
import * as net from 'node:net';
import { expect } from 'chai';
import { relay, time } from '../src/index.js';
import * as connection from '../src/connection/index.js';

async function openEcho(): Promise<{ server: net.Server; address: string }> {
  const server = net.createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.pipe(socket);
  });
  return { server, address: await connection.openLoopback(server) };
}

function connectTo(address: string): net.Socket {
  const socket = net.connect(Number(address.split(':')[1]), '127.0.0.1');
  socket.on('error', () => socket.destroy());
  return socket;
}

describe('LinkRelay', () => {
  it('guards against a silent cut that lets data through or whose end revives an old connection', async () => {
    const echo = await openEcho();
    await using link = new relay.LinkRelay(echo.address);
    const address = await link.open();
    const socket = connectTo(address);
    socket.write('a');
    expect(String((await once(socket, 'data'))[0])).to.equal('a');
    link.setState('silent');
    let received = '';
    socket.on('data', (data: Buffer) => {
      received += data.toString();
    });
    socket.write('b');
    await time.waitFor(50);
    link.setState('open');
    socket.write('c');
    await time.waitFor(50);
    expect([received, socket.destroyed]).to.deep.equal(['', false]);
    const fresh = connectTo(address);
    fresh.write('d');
    expect(String((await once(fresh, 'data'))[0])).to.equal('d');
    [socket, fresh].forEach((each) => each.destroy());
    echo.server.close();
  });

  it('guards against a refusing cut that keeps an open connection', async () => {
    const echo = await openEcho();
    await using link = new relay.LinkRelay(echo.address);
    const socket = connectTo(await link.open());
    socket.write('a');
    await once(socket, 'data');
    link.setState('refused');
    await once(socket, 'close');
    expect(socket.destroyed).to.equal(true);
    echo.server.close();
  });
});
