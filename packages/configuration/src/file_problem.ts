/** One thing that is wrong in a file. */
export interface FileProblem {
  /** Line from 1; absent when it can't be told. */
  line?: number;
  /** Place in the file, for example `workers[3].rack`. */
  path: string;
  cause: string;
}
