import {Buffer} from 'node:buffer';
import {createServer, request as send} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/**
 * Proxy in front of one worker. It can hold one order back: the caller gets no
 * answer, and the order is delivered late, whether the caller waits or not.
 */
export class Proxy {
  #target;
  #record;
  #server;
  #delay = 0;

  constructor(target, record) {
    this.#target = target;
    this.#record = record;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  async listen(ip) {
    await new Promise(resolve => this.#server.listen(0, ip, resolve));
    const {address, port} = this.#server.address();
    this.address = `${address}:${port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Delivers the next start that much later. */
  delayNextStart(milliseconds) {
    this.#delay = milliseconds;
  }

  async #serve(request, response) {
    const chunks = [];
    request.on('error', () => {});
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    if (this.#delay > 0 && request.url === '/cardamomfield/run-start') {
      const delay = this.#delay;
      this.#delay = 0;
      const {task, attempt} = JSON.parse(body.toString('utf8'));
      this.#record.write(`proxy: start of ${task} ${attempt} is held back`);
      await sleep(delay);
      this.#record.write(`proxy: start of ${task} ${attempt} is delivered`);
    }
    this.#forward(request, body, response);
  }

  #forward(request, body, response) {
    const [host, port] = this.#target.split(':');
    const call = send(
      {
        host,
        port: Number(port),
        method: request.method,
        path: request.url,
        headers: request.headers,
        agent: false,
      },
      answer => {
        response.writeHead(answer.statusCode, {
          'content-type': 'application/json',
        });
        answer.on('error', () => response.destroy());
        answer.pipe(response);
      },
    );
    call.on('error', () => response.destroy());
    call.end(body);
  }
}
