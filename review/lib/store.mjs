import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';

const RECORD_BYTES = 262_144;
const REQUEST_BYTES = 2_097_152;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const KEPT_ANSWERS = 5;
const POLL_MILLISECONDS = 5;
const NOTED_REFUSALS = 3;

/** Time that the store takes for an answer. */
const ANSWER_MILLISECONDS = 4;

/**
 * Stand-in for the platform's store: the calls of its log that the daemon uses,
 * as PROTOCOL.md describes them.
 */
export class Store {
  /**
   * `up`; or `silent`: calls are neither carried out nor answered, and nothing
   * further is answered on their connections.
   */
  mode = 'up';
  #partitions = new Map();
  #refusals = 0;
  #server;
  #record;

  constructor(record) {
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

  /**
   * Writes the newest value of a key, as the operator or a worker does; false
   * while the store is down.
   */
  write(topic, key, value) {
    if (this.mode !== 'up') return false;
    const text = value === undefined ? '' : JSON.stringify(value);
    this.#add(this.#partition(topic, 0), encode(key, Buffer.from(text)));
    return true;
  }

  /** The newest value of a key as text; undefined without one. */
  read(topic, key) {
    const value = newest(this.#partition(topic, 0)).get(key)?.value;
    return value?.length ? value.toString('utf8') : undefined;
  }

  async #serve(request, response) {
    const chunks = [];
    request.on('error', () => {});
    for await (const chunk of request) chunks.push(chunk);
    const {socket} = request;
    if (this.mode === 'silent') socket.isDead = true;
    if (socket.isDead) return;
    await sleep(ANSWER_MILLISECONDS);
    const url = new URL(request.url, 'http://store');
    const partition = this.#partition(
      url.searchParams.get('topic') ?? '',
      Number(url.searchParams.get('part') ?? 0),
    );
    let answer = {status: 404, body: {}};
    if (url.pathname === '/cardamomfield/log-append') {
      answer = this.#append(partition, url.searchParams, Buffer.concat(chunks));
    } else if (url.pathname === '/cardamomfield/log-newest') {
      answer = readNewest(partition, url.searchParams.get('depends_on'));
    } else if (url.pathname === '/cardamomfield/log-read') {
      answer = await readLog(partition, url.searchParams, socket);
    }
    if (this.mode === 'silent') socket.isDead = true;
    if (socket.isDead || socket.destroyed) return;
    const {status, body} = answer;
    const bytes = Buffer.isBuffer(body)
      ? body
      : Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
      'content-type': Buffer.isBuffer(body)
        ? 'application/octet-stream'
        : 'application/json',
      'content-length': bytes.length,
    });
    response.end(bytes);
  }

  #append(partition, query, body) {
    const records = split(body);
    if (
      body.length > REQUEST_BYTES + 4 * records.length ||
      records.some(bytes => bytes.length > RECORD_BYTES)
    ) {
      this.#noteRefusal(Math.max(...records.map(({length}) => length)));
      return {status: 413, body: {reason: 'size'}};
    }
    const producer = query.get('producer');
    if (producer !== null) {
      const refused = checkProducer(partition, producer, query, records);
      if (refused) return refused;
    }
    const offset = partition.records.length;
    for (const bytes of records) this.#add(partition, bytes);
    const answer = {
      status: 200,
      body: {offset, end_offset: partition.records.length},
    };
    if (producer !== null && records.length > 0) {
      const state = partition.producers.get(producer);
      state.answers.push({sequence: state.sequence, answer});
      if (state.answers.length > KEPT_ANSWERS) state.answers.shift();
    }
    return answer;
  }

  /** The first refusals are enough: a daemon may repeat an append often. */
  #noteRefusal(largest) {
    this.#refusals++;
    if (this.#refusals > NOTED_REFUSALS) return;
    this.#record.write(
      `store: append refused, largest record has ${largest} bytes, allowed are ${RECORD_BYTES}`,
    );
  }

  #add(partition, bytes) {
    partition.records.push(bytes);
  }

  #partition(topic, part) {
    const name = `${topic}/${part}`;
    if (!this.#partitions.has(name)) {
      this.#partitions.set(name, {records: [], producers: new Map()});
    }
    return this.#partitions.get(name);
  }
}

/** The refusal of an append, or undefined after noting its sequence number. */
function checkProducer(partition, producer, query, records) {
  const epoch = Number(query.get('epoch') ?? 0);
  const state = partition.producers.get(producer) ?? {
    epoch: -1,
    sequence: undefined,
    answers: [],
  };
  partition.producers.set(producer, state);
  if (epoch < state.epoch) return {status: 409, body: {reason: 'fenced'}};
  if (epoch > state.epoch) {
    Object.assign(state, {epoch, sequence: undefined, answers: []});
  }
  if (records.length === 0 || !query.has('sequence')) return undefined;
  const sequence = Number(query.get('sequence'));
  const repeated = state.answers.find(each => each.sequence === sequence);
  if (repeated) return repeated.answer;
  const expected = (state.sequence ?? sequence - 1) + 1;
  if (sequence !== expected) {
    return {status: 409, body: {reason: 'seq', sequence: expected}};
  }
  state.sequence = sequence;
  return undefined;
}

function readNewest(partition, after) {
  const keys = [...newest(partition)]
    .filter(([, {value}]) => value.length > 0)
    .map(([key]) => key)
    .sort()
    .filter(key => after === null || key > after);
  const values = newest(partition);
  const items = [];
  let bytes = 0;
  for (const key of keys) {
    const {value, offset} = values.get(key);
    const item = {key, value: value.toString('base64'), offset};
    bytes += item.value.length;
    if (items.length === PAGE_ITEMS || (items.length && bytes > PAGE_BYTES)) {
      break;
    }
    items.push(item);
  }
  return {
    status: 200,
    body: {
      items,
      has_more: items.length < keys.length,
      end_offset: partition.records.length,
    },
  };
}

async function readLog(partition, query, socket) {
  const from = Number(query.get('from') ?? 0);
  const endsAt = performance.now() + Number(query.get('wait_ms') ?? 0);
  while (
    partition.records.length <= from &&
    performance.now() < endsAt &&
    !socket.destroyed
  ) {
    await sleep(POLL_MILLISECONDS);
  }
  const limit = Number(query.get('max_fetch_kb') ?? 1_024) * 1_024;
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(partition.records.length), 0);
  const parts = [head];
  let bytes = 0;
  for (const record of partition.records.slice(from)) {
    bytes += record.length + 4;
    if (parts.length > 1 && bytes > limit) break;
    const length = Buffer.alloc(4);
    length.writeUInt32BE(record.length, 0);
    parts.push(length, record);
  }
  return {status: 200, body: Buffer.concat(parts)};
}

function newest({records}) {
  const values = new Map();
  for (const [offset, bytes] of records.entries()) {
    const keyEnd = 1 + bytes.readUInt8(0);
    const key = bytes.subarray(1, keyEnd).toString('utf8');
    values.set(key, {value: bytes.subarray(keyEnd), offset});
  }
  return values;
}

function encode(key, value) {
  const keyBytes = Buffer.from(key, 'utf8');
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
}

function split(body) {
  const parts = [];
  for (let position = 0; position < body.length;) {
    const length = body.readUInt32BE(position);
    parts.push(body.subarray(position + 4, position + 4 + length));
    position += 4 + length;
  }
  return parts;
}
