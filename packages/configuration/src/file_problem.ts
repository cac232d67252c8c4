/** One error in a file. */
export interface FileProblem {
  /** Line, counted from 1; absent when it is not known. */
  line?: number;
  /** Path of the value in the file, for example `workers[3].rack`. */
  path: string;
  cause: string;
}
