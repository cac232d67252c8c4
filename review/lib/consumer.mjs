import {Agent, request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

const DEADLINE_MILLISECONDS = 3_000;
const HOST_HEADER = 'queue.example';
const PATH_PREFIX = '/checks/';

/** Stand-in for a consumer: calls frontends and records each answer. */
export class Consumer {
  #record;
  #name;
  #agent = new Agent({keepAlive: true});

  constructor(name, record) {
    this.#name = name;
    this.#record = record;
  }

  /** Status and body of an answer; status 0 without an answer in time. */
  async call(method, daemon, id, body) {
    const what = `${this.#name}: ${method} ${id || '(queue)'} at ${daemon.name}`;
    this.#record.write(`${what} sent`);
    const answer = await this.#send(method, daemon.frontend, id, body);
    this.#record.write(
      `${what} answered ${answer.status} ${answer.text.slice(0, 200)}`,
    );
    return answer;
  }

  close() {
    this.#agent.destroy();
  }

  #send(method, address, id, body) {
    const [ip, port] = address.split(':');
    return new Promise(resolve => {
      const call = request(
        {
          agent: this.#agent,
          host: ip,
          port: Number(port),
          method,
          path: `${PATH_PREFIX}${id}`,
          headers: {
            host: HOST_HEADER,
            'content-type': 'application/json',
            'deadline-ms': String(DEADLINE_MILLISECONDS),
          },
        },
        response => {
          const chunks = [];
          response.on('data', chunk => chunks.push(chunk));
          response.on('error', () => {});
          response.on('end', () => {
            clearTimeout(timer);
            resolve({status: response.statusCode, text: chunks.join('')});
          });
        },
      );
      const timer = setTimeout(() => {
        call.destroy();
        resolve({status: 0, text: 'no answer within the deadline'});
      }, DEADLINE_MILLISECONDS);
      call.on('error', error => {
        clearTimeout(timer);
        resolve({status: 0, text: error.message});
      });
      call.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }
}
