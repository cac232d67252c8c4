/* global URL, clearTimeout, setTimeout */
// Stand-in for the platform's store: a log with keyed topics, as PROTOCOL.md
// describes it. Usage: node store.mjs IP. It prints its address as JSON, and
// takes records of the operator and of workers by POST /put?topic=T&key=K.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';

const ANSWER_MILLISECONDS = 4;
const MAXIMUM_ITEMS = 500;
const MAXIMUM_PAGE_BYTES = 1_000_000;
const REPEATS = 5;

const partitions = new Map();

function partitionOf(topic) {
  const known = partitions.get(topic);
  if (known) return known;
  const created = {
    records: [],
    newest: new Map(),
    epoch: -1,
    next: 0,
    answers: [],
    waiting: new Set(),
  };
  partitions.set(topic, created);
  return created;
}

/** Records as they stand in a body: 4 bytes of length, then the content. */
function split(body) {
  const parts = [];
  for (let at = 0; at < body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    parts.push(body.subarray(at + 4, end));
    at = end;
  }
  return parts;
}

function add(partition, content) {
  const keyEnd = 1 + content.readUInt8(0);
  const key = content.subarray(1, keyEnd).toString('utf8');
  const value = content.subarray(keyEnd);
  if (value.length === 0) partition.newest.delete(key);
  else partition.newest.set(key, {value, offset: partition.records.length});
  partition.records.push(content);
}

function wake(partition) {
  for (const resolve of partition.waiting) resolve();
  partition.waiting.clear();
}

function put(topic, key, value) {
  const name = Buffer.from(key, 'utf8');
  const partition = partitionOf(topic);
  add(partition, Buffer.concat([Buffer.from([name.length]), name, value]));
  wake(partition);
}

function append(partition, query, body) {
  const epoch = query.has('epoch') ? Number(query.get('epoch')) : undefined;
  const sequence = query.has('sequence')
    ? Number(query.get('sequence'))
    : undefined;
  if (epoch !== undefined) {
    if (epoch < partition.epoch) return [409, {reason: 'fenced'}];
    if (epoch > partition.epoch) {
      partition.epoch = epoch;
      partition.next = undefined;
      partition.answers = [];
    }
    if (sequence !== undefined && partition.next !== undefined) {
      const repeated = partition.answers.find(row => row.sequence === sequence);
      if (repeated) return [200, repeated.answer];
      if (sequence !== partition.next) {
        return [409, {reason: 'seq', sequence: partition.next}];
      }
    }
  }
  const offset = partition.records.length;
  for (const content of split(body)) add(partition, content);
  const answer = {offset, end_offset: partition.records.length};
  if (sequence !== undefined) {
    partition.next = sequence + 1;
    partition.answers = [...partition.answers, {sequence, answer}].slice(
      -REPEATS,
    );
  }
  wake(partition);
  return [200, answer];
}

function newest(partition, after) {
  const keys = [...partition.newest.keys()]
    .sort()
    .filter(key => after === null || key > after);
  const items = [];
  let bytes = 0;
  for (const key of keys) {
    if (items.length >= MAXIMUM_ITEMS || bytes > MAXIMUM_PAGE_BYTES) break;
    const {value, offset} = partition.newest.get(key);
    items.push({key, value: value.toString('base64'), offset});
    bytes += value.length;
  }
  return {
    items,
    has_more: items.length < keys.length,
    end_offset: partition.records.length,
  };
}

async function read(partition, query) {
  const from = Number(query.get('from'));
  const wait = Number(query.get('wait_ms') ?? 0);
  if (partition.records.length <= from && wait > 0) {
    await new Promise(resolve => {
      const timer = setTimeout(resolve, wait);
      partition.waiting.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(partition.records.length), 0);
  const parts = [head];
  const limit = Number(query.get('max_fetch_kb') ?? 1024) * 1024;
  let bytes = 0;
  for (const content of partition.records.slice(from)) {
    if (bytes > 0 && bytes + content.length > limit) break;
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length, 0);
    parts.push(length, content);
    bytes += content.length + 4;
  }
  return Buffer.concat(parts);
}

const server = createServer(async (request, response) => {
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    response.destroy();
    return;
  }
  const body = Buffer.concat(chunks);
  const url = new URL(request.url, 'http://store');
  const query = url.searchParams;
  const topic = query.get('topic') ?? '';
  const key = `${topic}/${query.get('part') ?? 0}`;
  let status = 200;
  let answer;
  if (url.pathname === '/put') {
    put(`${topic}/0`, query.get('key'), body);
    answer = {};
  } else if (url.pathname === '/cardamomfield/log-append') {
    if (topic === 'keyed.op' || topic === 'keyed.servers') status = 403;
    else [status, answer] = append(partitionOf(key), query, body);
  } else if (url.pathname === '/cardamomfield/log-newest') {
    answer = newest(partitionOf(key), query.get('depends_on'));
  } else if (url.pathname === '/cardamomfield/log-read') {
    answer = await read(partitionOf(key), query);
  } else {
    status = 404;
  }
  setTimeout(() => {
    response.writeHead(status);
    response.end(
      Buffer.isBuffer(answer) ? answer : JSON.stringify(answer ?? {}),
    );
  }, ANSWER_MILLISECONDS);
});

server.keepAliveTimeout = 0;
server.listen(0, process.argv[2], () => {
  const {address, port} = server.address();
  process.stdout.write(`${JSON.stringify({address: `${address}:${port}`})}\n`);
});
process.stdin.on('end', () => process.exit());
process.stdin.resume();
