import type {RandomSource} from '@cardamomfield/clock';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

interface Node {
  worker: WorkerRecord;
  key: number;
  priority: number;
  left: Node | undefined;
  right: Node | undefined;
  /** Most available in the subtree, each dimension on its own. */
  most: Vector;
}

/** Returns true to end the walk. */
type Visitor = (worker: WorkerRecord) => boolean;

/** Bound of the priorities that balance the tree. */
const PRIORITY_BOUND = 2 ** 30;

/**
 * Workers in the order of a key, as a randomised search tree. Every node
 * knows the most that its subtree has available in each dimension, so a walk
 * skips subtrees in which a demand cannot fit.
 */
export class FitTree {
  private readonly nodes = new Map<WorkerRecord, Node>();
  private root: Node | undefined;

  private constructor(
    private readonly keyOf: (worker: WorkerRecord) => number,
    private readonly random: RandomSource,
  ) {}

  static create(
    keyOf: (worker: WorkerRecord) => number,
    random: RandomSource,
  ): FitTree {
    return new FitTree(keyOf, random);
  }

  get size(): number {
    return this.nodes.size;
  }

  add(worker: WorkerRecord): void {
    const node: Node = {
      worker,
      key: this.keyOf(worker),
      priority: this.random.integerBelow(PRIORITY_BOUND),
      left: undefined,
      right: undefined,
      most: Vectors.zero(),
    };
    summarise(node);
    this.nodes.set(worker, node);
    this.root = insert(this.root, node);
  }

  remove(worker: WorkerRecord): void {
    const node = this.nodes.get(worker);
    if (!node) return;
    this.nodes.delete(worker);
    this.root = removeFrom(this.root, node);
  }

  /** Brings the tree up to date after the worker's availability changed. */
  update(worker: WorkerRecord): void {
    const node = this.nodes.get(worker);
    if (!node) return;
    const key = this.keyOf(worker);
    if (key === node.key) {
      refreshPath(this.root, node);
      return;
    }
    this.root = removeFrom(this.root, node);
    node.key = key;
    node.left = undefined;
    node.right = undefined;
    summarise(node);
    this.root = insert(this.root, node);
  }

  /** Visits the workers on which the demand fits, by ascending key. */
  ascend(demand: Vector, lowestKey: number, visit: Visitor): void {
    ascendFrom(this.root, demand, lowestKey, visit);
  }

  /** Visits the workers on which the demand fits, by descending key. */
  descend(demand: Vector, visit: Visitor): void {
    descendFrom(this.root, demand, visit);
  }

  /**
   * The fitting worker with the highest value, which must not decrease when
   * any available amount grows. `accept` may exclude workers.
   */
  highest(
    demand: Vector,
    valueOf: (available: Vector) => number,
    accept: (worker: WorkerRecord) => boolean,
  ): WorkerRecord | undefined {
    const search = {
      demand,
      valueOf,
      accept,
      worker: undefined as WorkerRecord | undefined,
      value: -Infinity,
    };
    searchHighest(this.root, search);
    return search.worker;
  }
}

interface Search {
  demand: Vector;
  valueOf: (available: Vector) => number;
  accept: (worker: WorkerRecord) => boolean;
  worker: WorkerRecord | undefined;
  value: number;
}

function isBefore(a: Node, b: Node): boolean {
  if (a.key !== b.key) return a.key < b.key;
  return a.worker.position < b.worker.position;
}

function summarise(node: Node): void {
  const {most, left, right} = node;
  const available = node.worker.available;
  for (let d = 0; d < most.length; d++) {
    let largest = available[d]!;
    if (left && left.most[d]! > largest) largest = left.most[d]!;
    if (right && right.most[d]! > largest) largest = right.most[d]!;
    most[d] = largest;
  }
}

function insert(root: Node | undefined, node: Node): Node {
  if (!root) return node;
  if (node.priority > root.priority) {
    [node.left, node.right] = split(root, node);
    summarise(node);
    return node;
  }
  if (isBefore(node, root)) root.left = insert(root.left, node);
  else root.right = insert(root.right, node);
  summarise(root);
  return root;
}

/** Divides a tree into the nodes before the pivot and those after it. */
function split(
  root: Node | undefined,
  pivot: Node,
): [Node | undefined, Node | undefined] {
  if (!root) return [undefined, undefined];
  if (isBefore(root, pivot)) {
    const [before, after] = split(root.right, pivot);
    root.right = before;
    summarise(root);
    return [root, after];
  }
  const [before, after] = split(root.left, pivot);
  root.left = after;
  summarise(root);
  return [before, root];
}

function merge(
  before: Node | undefined,
  after: Node | undefined,
): Node | undefined {
  if (!before) return after;
  if (!after) return before;
  if (before.priority > after.priority) {
    before.right = merge(before.right, after);
    summarise(before);
    return before;
  }
  after.left = merge(before, after.left);
  summarise(after);
  return after;
}

function removeFrom(root: Node | undefined, node: Node): Node | undefined {
  if (!root) return undefined;
  if (root === node) return merge(node.left, node.right);
  if (isBefore(node, root)) root.left = removeFrom(root.left, node);
  else root.right = removeFrom(root.right, node);
  summarise(root);
  return root;
}

function refreshPath(root: Node | undefined, node: Node): void {
  if (!root) return;
  if (root !== node) {
    refreshPath(isBefore(node, root) ? root.left : root.right, node);
  }
  summarise(root);
}

function ascendFrom(
  node: Node | undefined,
  demand: Vector,
  lowestKey: number,
  visit: Visitor,
): boolean {
  if (!node || !Vectors.fits(demand, node.most)) return false;
  if (node.key >= lowestKey) {
    if (ascendFrom(node.left, demand, lowestKey, visit)) return true;
    const isFit = Vectors.fits(demand, node.worker.available);
    if (isFit && visit(node.worker)) return true;
  }
  return ascendFrom(node.right, demand, lowestKey, visit);
}

function descendFrom(
  node: Node | undefined,
  demand: Vector,
  visit: Visitor,
): boolean {
  if (!node || !Vectors.fits(demand, node.most)) return false;
  if (descendFrom(node.right, demand, visit)) return true;
  const isFit = Vectors.fits(demand, node.worker.available);
  if (isFit && visit(node.worker)) return true;
  return descendFrom(node.left, demand, visit);
}

function searchHighest(node: Node | undefined, search: Search): void {
  if (!node || !Vectors.fits(search.demand, node.most)) return;
  if (search.valueOf(node.most) <= search.value) return;
  considerWorker(node.worker, search);
  searchHighest(node.right, search);
  searchHighest(node.left, search);
}

function considerWorker(worker: WorkerRecord, search: Search): void {
  if (!Vectors.fits(search.demand, worker.available)) return;
  const value = search.valueOf(worker.available);
  if (value <= search.value || !search.accept(worker)) return;
  search.worker = worker;
  search.value = value;
}
